//! Stand-ins for the peers of cuminarch, for tests, benchmarks and examples.
//!
//! [`PlatformServer`] replaces the platform's object API, [`UpstreamServer`] an upstream
//! that calls downstream services, and [`HttpCaller`] a caller. The servers listen on
//! loopback only.
//!
//! ```
//! use cuminarch_platform::{HttpObjectStore, ObjectStore, Precondition};
//! use cuminarch_testing::PlatformServer;
//!
//! let platform = PlatformServer::start()?;
//! let store = HttpObjectStore::new(platform.address());
//! let path = "config/current".parse()?;
//! store.put(&path, "hello", Precondition::Absent)?;
//! assert_eq!(store.get(&path)?.map(|object| object.value).as_deref(), Some("hello"));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod caller;
mod daemon_process;
mod daemon_settings;
mod free_address;
mod liveness;
mod manual_clock;
mod memory_store;
mod platform_fault;
mod platform_server;
mod port_block;
mod raw_answer;
mod raw_caller;
mod raw_upstream;
mod store_limits;
mod upstream_server;
mod virtual_fleet;

pub use caller::{CallerAnswer, HttpCaller};
pub use daemon_process::DaemonProcess;
pub use daemon_settings::DaemonSettings;
pub use free_address::free_address;
pub use liveness::{LIVENESS_TIMEOUT, wait_for};
pub use manual_clock::ManualClock;
pub use memory_store::{MemoryStore, StoreSnapshot};
pub use platform_fault::PlatformFault;
pub use platform_server::PlatformServer;
pub use raw_answer::RawAnswer;
pub use raw_caller::RawCaller;
pub use raw_upstream::{ConnectionAction, RawConnection, RawRequest, RawUpstream};
pub use store_limits::StoreLimits;
pub use upstream_server::{UpstreamBehaviour, UpstreamServer};
pub use virtual_fleet::{Network, TrafficCounters, VirtualFleet, VirtualNode, VirtualPlatform};
