/// Position of an endpoint among those of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointPosition {
    /// Number of endpoints of the service, including this one.
    pub endpoint_count: usize,
    /// Number of endpoints before it in the order of their names.
    pub index: usize,
}
