//! The rate limit before, during and after an outage, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_platform::{Clock, ObjectPath, ObjectStore, PlatformError, RateLimitedStore};
use cuminarch_testing::{ManualClock, MemoryStore, PlatformFault};
use cuminarch_types::RatePerSecond;

#[test]
fn limit_holds_after_an_outage() {
    let (store, clock) = (MemoryStore::new(), Arc::new(ManualClock::new()));
    let shared_clock: Arc<dyn Clock> = Arc::clone(&clock) as Arc<dyn Clock>;
    let limited =
        RateLimitedStore::new(Arc::new(store.clone()), shared_clock, RatePerSecond::new(10.0), 5);
    let path: ObjectPath = "config/current".parse().unwrap();
    let mut refused = 0;
    for now_ms in 0..120_000 {
        let is_down = (10_000..70_000).contains(&now_ms);
        store.set_fault(if is_down { PlatformFault::Down } else { PlatformFault::None });
        let calls_before = store.calls();
        if limited.get(&path) == Err(PlatformError::RateLimited) {
            refused += 1;
            assert_eq!(store.calls(), calls_before);
        }
        clock.advance(Duration::from_millis(1));
        let elapsed_s = (now_ms as f64 + 1.0) / 1_000.0;
        assert!(store.calls() as f64 <= 5.0 + 10.0 * elapsed_s);
    }
    let counts = limited.counts();
    assert_eq!((counts.gets, counts.refused), (store.calls(), refused));
    assert!(counts.gets >= 1_190, "the limiter refuses more calls than necessary: {counts:?}");
}
