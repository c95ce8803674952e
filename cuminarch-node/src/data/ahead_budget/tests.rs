use super::*;

const MIB: u64 = 1024 * 1024;

#[test]
fn memory_is_reserved_up_to_the_limits_and_returned() {
    let budget = AheadBudget::default();
    assert!(budget.reserve(Some(5 * MIB)).is_none());
    let mut reservations: Vec<AheadReservation> =
        (0..4).filter_map(|_| budget.reserve(None)).collect();
    assert_eq!(reservations.len(), 4);
    assert!(budget.reserve(Some(1)).is_none());
    reservations.pop();
    let reservation = budget.reserve(Some(3 * MIB)).unwrap();
    assert_eq!(reservation.len_bytes as u64, 3 * MIB);
    assert!(budget.reserve(Some(2 * MIB)).is_none());
}
