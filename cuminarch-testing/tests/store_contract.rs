//! Contract tests for the in-memory store and for the HTTP client with the server.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cuminarch_platform::{
    HttpObjectStore, Object, ObjectPath, ObjectStore, ObjectVersion, PlatformError, Precondition,
};
use cuminarch_testing::{MemoryStore, PlatformFault, PlatformServer, StoreLimits};
use rstest::rstest;

/// A store under test with the handle for fault injection.
struct Case {
    store: Arc<dyn ObjectStore>,
    control: MemoryStore,
    _server: Option<PlatformServer>,
}

fn memory() -> Case {
    let control = MemoryStore::new();
    Case { store: Arc::new(control.for_client("zone-a")), control, _server: None }
}

fn http() -> Case {
    let server = PlatformServer::start().unwrap();
    let store = HttpObjectStore::new(server.address()).with_user_agent("zone-a");
    Case { store: Arc::new(store), control: server.store().clone(), _server: Some(server) }
}

fn path(text: &str) -> ObjectPath {
    text.parse().unwrap()
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn versions_and_conditions(#[case] case: Case) {
    let (store, a) = (&case.store, path("config/a"));
    assert_eq!(store.get(&a), Ok(None));
    let first = store.put(&a, "one", Precondition::Absent).unwrap();
    let current = Object { path: a.clone(), version: first, value: "one".to_owned() };
    let conflict =
        PlatformError::Conflict { path: a.clone(), current: Some(Box::new(current.clone())) };
    assert_eq!(store.put(&a, "two", Precondition::Absent), Err(conflict));
    assert_eq!(store.get(&a), Ok(Some(current)));
    let second = store.put(&a, "two", Precondition::Version(first)).unwrap();
    assert!(second > first);
    assert!(matches!(
        store.put(&a, "three", Precondition::Version(first)),
        Err(PlatformError::Conflict { .. })
    ));
    assert!(matches!(
        store.delete(&a, Precondition::Version(first)),
        Err(PlatformError::Conflict { .. })
    ));
    assert_eq!(store.delete(&a, Precondition::Version(second)), Ok(()));
    let conflict = PlatformError::Conflict { path: a.clone(), current: None };
    assert_eq!(store.put(&a, "four", Precondition::Version(second)), Err(conflict));
    assert!(store.put(&a, "five", Precondition::Any).unwrap() > second);
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn listings_and_watches(#[case] case: Case) {
    let (store, prefix) = (&case.store, path("status"));
    let empty = store.list(&prefix).unwrap();
    assert!(empty.objects.is_empty());
    let timed_out = store.watch(&prefix, empty.version, Duration::from_millis(20)).unwrap();
    assert!(timed_out.objects.is_empty());
    store.put(&path("status/a"), "1", Precondition::Any).unwrap();
    store.put(&path("other/a"), "1", Precondition::Any).unwrap();
    let b = store.put(&path("status/b"), "1", Precondition::Any).unwrap();
    let seen = store.watch(&prefix, empty.version, Duration::from_secs(10)).unwrap();
    assert_eq!(seen.objects.len(), 2);
    assert_eq!(seen.version, b);
    let waiting = Arc::clone(store);
    let watcher =
        thread::spawn(move || waiting.watch(&path("status"), b, Duration::from_secs(20)).unwrap());
    let changed = store.put(&path("status/a"), "2", Precondition::Any).unwrap();
    let seen = watcher.join().unwrap();
    assert_eq!(seen.objects.iter().map(|object| object.version).collect::<Vec<_>>(), [changed]);
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn lost_answer_is_ambiguous_and_has_taken_effect(#[case] case: Case) {
    let (store, a) = (&case.store, path("config/a"));
    case.control.set_fault(PlatformFault::LoseAnswers);
    let result = store.put(&a, "one", Precondition::Absent);
    assert!(matches!(result, Err(PlatformError::Ambiguous { .. })), "{result:?}");
    assert_eq!(store.get(&a).unwrap().unwrap().value, "one");
    let result = store.delete(&a, Precondition::Any);
    assert!(matches!(result, Err(PlatformError::Ambiguous { .. })), "{result:?}");
    assert_eq!(store.get(&a), Ok(None));
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn outage_and_disconnection_fail_without_effect(#[case] case: Case) {
    let (store, a) = (&case.store, path("config/a"));
    for is_disconnected in [false, true] {
        if is_disconnected {
            case.control.set_disconnected("zone-a", true);
        } else {
            case.control.set_fault(PlatformFault::Down);
        }
        let unavailable = |error| matches!(error, PlatformError::Unavailable { .. });
        assert!(store.put(&a, "one", Precondition::Any).is_err_and(unavailable));
        assert!(store.get(&a).is_err_and(unavailable));
        let after = ObjectVersion::default();
        assert!(store.watch(&a, after, Duration::from_secs(10)).is_err_and(unavailable));
        case.control.set_fault(PlatformFault::None);
        case.control.set_disconnected("zone-a", false);
        assert_eq!(store.get(&a), Ok(None));
    }
    case.control.set_disconnected("zone-b", true);
    assert!(store.put(&a, "one", Precondition::Any).is_ok());
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn restored_store_goes_back_and_wakes_watches(#[case] case: Case) {
    let (store, a) = (&case.store, path("config/a"));
    let first = store.put(&a, "one", Precondition::Any).unwrap();
    let snapshot = case.control.snapshot();
    let second = store.put(&a, "two", Precondition::Any).unwrap();
    case.control.restore(&snapshot);
    assert_eq!(store.get(&a).unwrap().unwrap().value, "one");
    let listing = store.watch(&a, second, Duration::from_secs(10)).unwrap();
    assert_eq!(listing.version, first);
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn calls_above_the_rate_are_refused_and_all_are_counted(#[case] case: Case) {
    let (store, a) = (&case.store, path("config/a"));
    let rate = cuminarch_types::RatePerSecond::new(0.001);
    case.control.set_limits(Some(StoreLimits { writes: rate, reads: rate }));
    assert!(store.put(&a, "one", Precondition::Any).is_ok());
    assert_eq!(store.put(&a, "two", Precondition::Any), Err(PlatformError::RateLimited));
    assert!(store.list(&a).is_ok());
    assert_eq!(store.get(&a), Err(PlatformError::RateLimited));
    case.control.set_limits(None);
    let after = ObjectVersion::new(1);
    store.watch(&a, after, Duration::from_millis(10)).unwrap();
    let counts = case.control.counts();
    assert_eq!((counts.writes, counts.lists, counts.watches, counts.refused), (1, 1, 1, 2));
    assert_eq!(case.control.calls(), 5);
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn slow_store_answers_late(#[case] case: Case) {
    case.control.set_fault(PlatformFault::Slow(Duration::from_millis(30)));
    assert!(case.store.put(&path("config/a"), "one", Precondition::Any).is_ok());
}

#[rstest]
#[case::memory(memory())]
#[case::http(http())]
fn values_over_a_megabyte_are_refused(#[case] case: Case) {
    let a = path("config/a");
    let largest = "x".repeat(HttpObjectStore::MAX_VALUE_BYTES);
    assert!(case.store.put(&a, &largest, Precondition::Any).is_ok());
    let result = case.store.put(&a, &format!("{largest}x"), Precondition::Any);
    let (len_bytes, max_bytes) = (largest.len() + 1, largest.len());
    assert_eq!(result, Err(PlatformError::TooLarge { len_bytes, max_bytes }));
}

#[test]
fn client_slower_than_its_timeout_reports_an_ambiguous_write() {
    let case = http();
    case.control.set_fault(PlatformFault::Slow(Duration::from_secs(4)));
    let address = case._server.as_ref().unwrap().address();
    let store = HttpObjectStore::new(address).with_timeout(Duration::from_millis(300));
    let result = store.put(&path("config/a"), "one", Precondition::Any);
    assert!(matches!(result, Err(PlatformError::Ambiguous { .. })), "{result:?}");
}

#[test]
fn refused_connection_is_no_ambiguous_write() {
    let listener = std::net::TcpListener::bind("127.77.0.2:0").unwrap();
    let unused_address = listener.local_addr().unwrap();
    drop(listener);
    let result =
        HttpObjectStore::new(unused_address).put(&path("config/a"), "one", Precondition::Any);
    assert!(matches!(result, Err(PlatformError::Unavailable { .. })), "{result:?}");
}
