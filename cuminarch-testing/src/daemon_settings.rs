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
    pub callers: SocketAddr,
    /// Where its upstream makes calls.
    pub egress: SocketAddr,
    /// Where other nodes open data links.
    pub data: SocketAddr,
    /// Where other nodes speak of members and configuration.
    pub control: SocketAddr,
    /// Where it serves metrics and its state.
    pub admin: SocketAddr,
    /// Its upstream.
    pub upstream: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
}

impl DaemonSettings {
    /// Settings of the endpoint `index` of a service.
    #[must_use]
    pub fn new(service: &str, index: usize, upstream: SocketAddr, platform: SocketAddr) -> Self {
        Self {
            endpoint: format!("{service}-{index}").into(),
            service: service.into(),
            callers: free_address(),
            egress: free_address(),
            data: free_address(),
            control: free_address(),
            admin: free_address(),
            upstream,
            platform,
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
            self.callers,
            self.egress,
            self.data,
            self.control,
            self.admin,
            self.upstream,
            self.platform,
        )
    }
}
