/// Place of an endpoint among those of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Endpoints of the service, this one among them.
    pub endpoints: usize,
    /// Those that come before it in the order of their names.
    pub rank: usize,
}
