use std::net::SocketAddr;

use compact_str::CompactString;

use crate::free_address;

/// Settings of a daemon on loopback, with its own addresses.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Endpoint id of the daemon.
    pub endpoint: CompactString,
    /// Service of the upstream.
    pub service: CompactString,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for outgoing calls of the upstream.
    pub egress_address: SocketAddr,
    /// Address for data links from other nodes.
    pub data_address: SocketAddr,
    /// Address for control messages (members and configuration) from other nodes.
    pub control_address: SocketAddr,
    /// Address of the metrics and the state dump.
    pub admin_address: SocketAddr,
    /// Address of the upstream.
    pub upstream_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Whether the daemon refuses calls until it has a configuration.
    pub requires_config: bool,
}

impl DaemonSettings {
    /// Creates the settings of the endpoint `index` of a service, with free addresses.
    #[must_use]
    pub fn new(
        service: &str,
        index: usize,
        upstream_address: SocketAddr,
        platform_address: SocketAddr,
    ) -> Self {
        Self {
            endpoint: format!("{service}-{index}").into(),
            service: service.into(),
            caller_address: free_address(),
            egress_address: free_address(),
            data_address: free_address(),
            control_address: free_address(),
            admin_address: free_address(),
            upstream_address,
            platform_address,
            requires_config: false,
        }
    }

    /// Returns the contents of the settings file.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        format!(
            "fleet: test\nendpoint: {}\nservice: {}\nzone: zrh-a\nregion: ch-central\n\
             caller_address: {}\negress_address: {}\ndata_address: {}\ncontrol_address: {}\n\
             admin_address: {}\nupstream_address: {}\nplatform_address: {}\n{}",
            self.endpoint,
            self.service,
            self.caller_address,
            self.egress_address,
            self.data_address,
            self.control_address,
            self.admin_address,
            self.upstream_address,
            self.platform_address,
            if self.requires_config { "requires_config: true\n" } else { "" },
        )
    }
}
