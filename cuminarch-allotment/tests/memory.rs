//! Memory of a table by accounts, at 860 nodes.

use std::time::Duration;

use cuminarch_allotment::{AllotmentSettings, AllotmentTable};
use cuminarch_types::{AccountName, Allotment, CallId, MonoTime, RatePerSecond, ZoneName};

/// Resident memory of this process in bytes; one test in this file, so nothing else grows.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

#[test]
fn memory_stays_within_256_mb_with_any_number_of_accounts() {
    let zones: Vec<ZoneName> = (0..5).map(|zone| format!("zone-{zone}").parse().unwrap()).collect();
    for account_count in [86, 10_000, 40_000] {
        let before = resident_bytes();
        let settings = AllotmentSettings::new("service-0-0".parse().unwrap(), zones[0].clone());
        let mut table = AllotmentTable::new(settings.with_zones(zones.iter().cloned().collect()));
        for node in 0..860 {
            let endpoint = format!("service-{}-{node}", node % 4).parse().unwrap();
            table.set_member(&endpoint, &zones[node % 5], true, MonoTime::ZERO);
        }
        let limit = Allotment { rate: RatePerSecond::new(5.0), burst_requests: 5 };
        let names: Vec<AccountName> =
            (0..account_count).map(|at| format!("account-{at}").parse().unwrap()).collect();
        table
            .set_accounts(names.iter().map(|name| (name.clone(), limit)).collect(), MonoTime::ZERO);
        let configured = resident_bytes();
        let now = MonoTime::ZERO.after(Duration::from_secs(5));
        for (at, name) in names.iter().enumerate() {
            table.request(name, CallId::new(at as u64), now);
        }
        let active = resident_bytes();
        println!(
            "{account_count} accounts: {} KB configured, {} KB more with a request of each",
            configured.saturating_sub(before) / 1_024,
            active.saturating_sub(configured) / 1_024
        );
        assert!(active.saturating_sub(before) < 256 * 1_024 * 1_024);
    }
}
