use std::time::Duration;

/// Decision of a [`Shedder`](crate::Shedder) on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedDecision {
    /// Whether to refuse it.
    pub is_refused: bool,
    /// Fraction of the requests like this one that is refused.
    pub refused_fraction: f64,
    /// What was believed of its account, if room is shared between accounts.
    pub share: Option<AccountShare>,
}

/// Why an account's requests are refused in this proportion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountShare {
    /// Estimated usage of the account relative to its allotted rate.
    pub usage: f64,
    /// Age of the report that the estimate uses; `None` without one.
    pub report_age: Option<Duration>,
    /// Usage up to which an account is served; infinite without a shortage.
    pub level: f64,
    /// Whether the request returns after a refusal, at the time that its caller was told.
    pub is_returning: bool,
}
