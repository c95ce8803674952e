use std::net::SocketAddr;

use compact_str::CompactString;

use crate::free_address;

/// Settings of a daemon on loopback, with addresses of its own.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Its endpoint id.
    pub endpoint: CompactString,
    /// The service of its upstream.
    pub service: CompactString,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where its upstream makes calls.
    pub egress_address: SocketAddr,
    /// Where other nodes open data links.
    pub data_address: SocketAddr,
    /// Where other nodes speak of members and configuration.
    pub control_address: SocketAddr,
    /// Where it serves metrics and its state.
    pub admin_address: SocketAddr,
    /// Its upstream.
    pub upstream_address: SocketAddr,
    /// The platform.
    pub platform_address: SocketAddr,
}

impl DaemonSettings {
    /// Settings of the endpoint `index` of a service.
    #[must_use]
    pub fn new(service: &str, index: usize, upstream: SocketAddr, platform: SocketAddr) -> Self {
        Self {
            endpoint: format!("{service}-{index}").into(),
            service: service.into(),
            caller_address: free_address(),
            egress_address: free_address(),
            data_address: free_address(),
            control_address: free_address(),
            admin_address: free_address(),
            upstream_address: upstream,
            platform_address: platform,
        }
    }

    /// The settings file.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        format!(
            "fleet: test\nendpoint: {}\nservice: {}\nzone: zrh-a\nregion: ch-central\n\
             caller_address: {}\negress_address: {}\ndata_address: {}\ncontrol_address: {}\n\
             admin_address: {}\nupstream_address: {}\nplatform_address: {}\n",
            self.endpoint,
            self.service,
            self.caller_address,
            self.egress_address,
            self.data_address,
            self.control_address,
            self.admin_address,
            self.upstream_address,
            self.platform_address,
        )
    }
}
