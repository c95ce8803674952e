use std::cell::Cell;
use std::rc::Rc;

/// Memory of a node for answers that are received in full before their head is written.
#[derive(Clone, Debug, Default)]
pub struct AheadBudget {
    reserved_bytes: Rc<Cell<usize>>,
}

/// Memory that is reserved until it is dropped.
#[derive(Debug)]
pub struct AheadReservation {
    budget: AheadBudget,
    /// Size of the reservation.
    pub len_bytes: usize,
}

impl AheadBudget {
    /// Longest answer that is received ahead.
    pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
    /// For all answers together; a tenth of the memory of the smallest hosts.
    const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;

    /// Reserves memory for an answer of this length, or for the longest one if it is unknown. Returns
    /// `None` if the answer is too long or the memory is used up.
    pub fn reserve(&self, len_bytes: Option<u64>) -> Option<AheadReservation> {
        let len_bytes = match len_bytes {
            Some(len_bytes) => usize::try_from(len_bytes).ok()?,
            None => Self::MAX_ANSWER_BYTES,
        };
        let total_bytes = self.reserved_bytes.get().saturating_add(len_bytes);
        if len_bytes > Self::MAX_ANSWER_BYTES || total_bytes > Self::MAX_TOTAL_BYTES {
            return None;
        }
        self.reserved_bytes.set(total_bytes);
        Some(AheadReservation { budget: self.clone(), len_bytes })
    }
}

impl Drop for AheadReservation {
    fn drop(&mut self) {
        let reserved_bytes = &self.budget.reserved_bytes;
        reserved_bytes.set(reserved_bytes.get() - self.len_bytes);
    }
}

#[cfg(test)]
mod tests;
