/// Place of an endpoint among those of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointPosition {
    /// Endpoints of the service, this one among them.
    pub endpoint_count: usize,
    /// Those that come before it in the order of their names.
    pub index: usize,
}
