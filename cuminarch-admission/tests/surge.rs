//! Surges at a serving node and at an entry node, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, InternalRouteDetector, Origin,
    QueueEvent, ServiceShortage, Shedder, SlotAdmission,
};
use cuminarch_types::{
    CallId, ConcurrencyLimit, MonoTime, Priority, Rank, RequestId, RouteName, ServiceName,
};
use rstest::rstest;

fn route(name: &str) -> RouteName {
    name.parse().unwrap()
}

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

/// The most urgent class of these tests.
const TOP_PRIORITY: u8 = 9;

fn request(call: u64, priority: u8, is_nested: bool, now: MonoTime) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId::new(call),
        rank: Rank::of_request(Priority::new(priority), RequestId::new(u128::from(call))),
        more_urgent_classes: TOP_PRIORITY.saturating_sub(priority),
        deadline: now.after(Duration::from_millis(700)),
        route: Some(route("queue")),
        is_nested,
        objective: Duration::from_millis(300),
    }
}

fn admission(slots: u32) -> SlotAdmission {
    let mut admission = SlotAdmission::new();
    admission.set_capacity(ConcurrencyLimit::new(slots));
    admission
}

#[test]
fn some_slots_of_the_upstream_stay_free() {
    let mut admission = admission(100);
    let now = MonoTime::from_millis(1);
    let started = (0..100)
        .filter(|call| {
            admission.offer(&request(*call, 1, true, now), now).decision == AdmissionDecision::Run
        })
        .count();
    assert_eq!((started, admission.waiting()), (94, 6));
}

/// The reserve is a fraction of the slots, not at least one whole slot for small upstreams.
#[rstest]
#[case::one(1, 1)]
#[case::four(4, 4)]
#[case::ten(10, 9)]
#[case::eighteen(18, 17)]
#[case::two_hundred(200, 188)]
fn the_reserve_is_rounded_to_the_nearest_slot(#[case] slots: u32, #[case] filled: u32) {
    assert_eq!(admission(slots).limit(), ConcurrencyLimit::new(filled));
}

#[test]
fn nested_calls_start_first_then_the_more_urgent() {
    let mut admission = admission(1);
    let now = MonoTime::from_millis(1);
    for (call, priority, is_nested) in [(1, 0, true), (2, 0, false), (3, 9, false), (4, 0, true)] {
        admission.offer(&request(call, priority, is_nested, now), now);
    }
    let mut order = Vec::new();
    for call in [1, 4, 3] {
        let events = admission.finish(CallId::new(call), Some(Duration::from_millis(5)), now);
        order.extend(events);
    }
    let expected = [4, 3, 2].map(|call| QueueEvent::Run(CallId::new(call)));
    assert_eq!(order, expected);
}

/// Nested calls with time to spare, and one caller with a short objective.
#[rstest]
#[case::caller_has_less_time(150, 1)]
#[case::caller_has_as_much_time(300, 11)]
#[case::caller_has_more_time(1_200, 11)]
fn requests_are_queued_by_their_target_start(#[case] objective_ms: u64, #[case] place: usize) {
    let mut admission = admission(1);
    let now = MonoTime::from_millis(1);
    // Teaches the admission that calls occupy their slot very briefly.
    for call in 1_000..1_300 {
        admission.offer(&request(call, 2, true, now), now);
        admission.finish(CallId::new(call), Some(Duration::ZERO), now);
    }
    (0..11).for_each(|call| {
        admission.offer(&request(call, 2, true, now), now);
    });
    let objective = Duration::from_millis(objective_ms);
    // The least urgent of three classes.
    let caller = AdmissionRequest { objective, ..request(100, TOP_PRIORITY - 2, false, now) };
    assert_eq!(admission.offer(&caller, now).decision, AdmissionDecision::Wait);
    let mut order = Vec::new();
    let mut running = CallId::new(0);
    while let [QueueEvent::Run(next)] = admission.finish(running, Some(Duration::ZERO), now)[..] {
        order.push(QueueEvent::Run(next));
        running = next;
    }
    let started = order.iter().position(|event| *event == QueueEvent::Run(CallId::new(100)));
    assert_eq!(started.map(|index| index + 1), Some(place));
}

/// A steady stream of callers with short objectives does not delay a nested call for long.
#[test]
fn calls_that_can_wait_are_not_starved() {
    let mut admission = admission(1);
    let short_objective = Duration::from_millis(150);
    let mut now = MonoTime::from_millis(1_000);
    admission.offer(&request(0, 2, true, now), now);
    admission.offer(&request(1, 2, true, now), now);
    let start = now;
    let mut running = CallId::new(0);
    for call in 2..1_000 {
        now = now.after(Duration::from_millis(1));
        let caller =
            AdmissionRequest { objective: short_objective, ..request(call, 63, false, now) };
        admission.offer(&caller, now);
        let events = admission.finish(running, Some(Duration::from_millis(1)), now);
        let Some(QueueEvent::Run(next)) = events.last() else { panic!("nothing waits") };
        running = *next;
        if running == CallId::new(1) {
            break;
        }
    }
    assert!(now.since(start) <= Duration::from_millis(300), "{:?}", now.since(start));
}

#[test]
fn a_caller_that_would_wait_too_long_is_refused_immediately() {
    let mut admission = admission(1);
    let now = MonoTime::from_millis(1);
    let decisions: Vec<AdmissionDecision> =
        (0..5).map(|call| admission.offer(&request(call, 1, false, now), now).decision).collect();
    assert!(
        decisions
            .iter()
            .skip(2)
            .all(|decision| matches!(decision, AdmissionDecision::Refuse { .. }))
    );
}

/// The refusal has to reach the entry node before that node ends the call as possibly run.
#[test]
fn a_nested_call_that_does_not_start_is_refused_before_its_deadline() {
    let mut admission = admission(1);
    let now = MonoTime::from_millis(1_000);
    // Teaches the admission that calls occupy their slot very briefly.
    for call in 1_000..1_300 {
        admission.offer(&request(call, 2, true, now), now);
        admission.finish(CallId::new(call), Some(Duration::ZERO), now);
    }
    admission.offer(&request(0, 2, true, now), now);
    let waiting = request(1, 2, true, now);
    assert_eq!(admission.offer(&waiting, now).decision, AdmissionDecision::Wait);
    let mut poll_at = now;
    while admission.poll(poll_at).is_empty() {
        poll_at = poll_at.after(Duration::from_millis(20));
    }
    let time_left = waiting.deadline.since(poll_at);
    assert!(time_left >= Duration::from_millis(10), "{time_left:?}");
}

/// A serving node whose 39 used slots run calls of 20 ms each.
struct SimulatedNode {
    admission: SlotAdmission,
    ends: BTreeSet<(MonoTime, CallId)>,
}

impl SimulatedNode {
    const HOLDING: Duration = Duration::from_millis(20);

    fn new() -> Self {
        Self { admission: admission(42), ends: BTreeSet::new() }
    }

    /// Finishes all calls that have ended by `now`, then offers a call.
    fn offer(&mut self, call: u64, now: MonoTime) -> AdmissionDecision {
        while let Some((at, ended)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, ended));
            for event in self.admission.finish(ended, Some(Self::HOLDING), at) {
                if let QueueEvent::Run(started) = event {
                    self.ends.insert((at.after(Self::HOLDING), started));
                }
            }
        }
        let decision = self.admission.offer(&request(call, 1, true, now), now).decision;
        if decision == AdmissionDecision::Run {
            self.ends.insert((now.after(Self::HOLDING), CallId::new(call)));
        }
        decision
    }

    /// Simulates a surge that the entry node sheds as the serving node reports. Returns the
    /// fraction refused at the serving node.
    fn surge(&mut self, calls_per_s: u64, seconds: u64) -> f64 {
        let (mut offered, mut refused) = (0_u64, 0_u64);
        for step in 0..calls_per_s * seconds {
            let now = MonoTime::from_micros(1_000_000 + step * 1_000_000 / calls_per_s);
            let is_shed = step * 7_919 % 1_000 < u64::from(self.admission.shortage_milli());
            if is_shed {
                continue;
            }
            let is_steady = step > calls_per_s * seconds / 2;
            offered += u64::from(is_steady);
            if let AdmissionDecision::Refuse { .. } = self.offer(step, now) {
                refused += u64::from(is_steady);
            }
        }
        refused as f64 / offered as f64
    }
}

/// The serving node can run 1,950 calls a second; the excess is shed at the entry node.
#[rstest]
#[case::fits(1_500, 0, 60)]
#[case::a_half_more(3_000, 300, 450)]
#[case::three_times(6_000, 620, 760)]
fn the_reported_shortage_sheds_the_excess(
    #[case] calls_per_s: u64,
    #[case] min_milli: u16,
    #[case] max_milli: u16,
) {
    let mut node = SimulatedNode::new();
    let refused_fraction = node.surge(calls_per_s, 6);
    let shortage_milli = node.admission.shortage_milli();
    assert!(refused_fraction < 0.02, "{refused_fraction}");
    assert!((min_milli..=max_milli).contains(&shortage_milli), "{shortage_milli}");
}

fn shortage(shed_milli: f64, load_ms: u64, now: MonoTime) -> Option<ServiceShortage> {
    let load = Duration::from_millis(load_ms);
    Some(ServiceShortage {
        service: service("auftrag"),
        shed_milli,
        noted_at: now,
        call_cost: load,
    })
}

/// Offers requests of both routes at the entry node while reports ask for a fraction of the load to
/// be shed. Returns the refused fraction of each route.
fn shed(shed_milli: f64) -> (f64, f64) {
    let mut shedder = Shedder::new();
    let (browse, approve) = (route("browse"), route("approve"));
    let mut refused = [0_u32; 2];
    for step in 0..4_000_u64 {
        let now = MonoTime::from_micros(1_000_000 + step * 1_000);
        shedder.record_report(&browse, shortage(shed_milli, 88, now), now);
        shedder.record_report(&approve, shortage(shed_milli, 88, now), now);
        for (index, (name, priority)) in [(&browse, 0), (&approve, 9)].into_iter().enumerate() {
            let rank =
                Rank::of_request(Priority::new(priority), RequestId::new(u128::from(step) << 40));
            let is_refused = shedder.should_refuse(name, rank, now);
            refused[index] += u32::from(is_refused && step >= 2_000);
        }
    }
    (f64::from(refused[0]) / 2_000.0, f64::from(refused[1]) / 2_000.0)
}

#[rstest]
#[case::none(0.0, 0.0, 0.0)]
#[case::a_fifth(200.0, 0.4, 0.0)]
#[case::more_than_browsing(600.0, 0.9, 0.3)]
fn the_least_urgent_routes_are_refused_first(
    #[case] shed_milli: f64,
    #[case] browse: f64,
    #[case] approve: f64,
) {
    let (refused_browse, refused_approve) = shed(shed_milli);
    assert!((refused_browse - browse).abs() < 0.05, "{refused_browse}");
    assert!((refused_approve - approve).abs() < 0.05, "{refused_approve}");
}

/// Ten browse requests for each courier request, both of which load the short service. Returns the
/// refused fractions of the route with many and of that with few requests.
fn shed_within_a_class(many: &RouteName, few: &RouteName, shed_milli: f64) -> (f64, f64) {
    let mut shedder = Shedder::new();
    let mut refused = BTreeMap::from([(many, 0_u32), (few, 0)]);
    for step in 0..44_000_u64 {
        let now = MonoTime::from_micros(1_000_000 + step * 1_000);
        let name = if step % 11 == 0 { few } else { many };
        shedder.record_report(name, shortage(shed_milli, 50, now), now);
        let rank = Rank::of_request(Priority::new(2), RequestId::new(u128::from(step) << 40));
        if shedder.should_refuse(name, rank, now) && step >= 22_000 {
            *refused.get_mut(name).unwrap() += 1;
        }
    }
    (f64::from(refused[many]) / 20_000.0, f64::from(refused[few]) / 2_000.0)
}

/// A surge on a service that is loaded by two routes of one class.
#[rstest]
#[case::a_fifth("browse", "courier", 200.0)]
#[case::names_swapped("courier", "browse", 200.0)]
#[case::a_half("browse", "courier", 500.0)]
#[case::a_half_names_swapped("courier", "browse", 500.0)]
fn routes_of_one_class_are_refused_in_equal_parts(
    #[case] many: &str,
    #[case] few: &str,
    #[case] shed_milli: f64,
) {
    let (refused_many, refused_few) = shed_within_a_class(&route(many), &route(few), shed_milli);
    let fraction = shed_milli / 1_000.0;
    assert!((refused_many - fraction).abs() < 0.06, "{refused_many}");
    assert!((refused_few - fraction).abs() < 0.06, "{refused_few}");
}

#[test]
fn an_unconfirmed_shortage_decays() {
    let mut shedder = Shedder::new();
    let start = MonoTime::from_millis(1_000);
    for step in 0..200 {
        let now = start.after(Duration::from_millis(step));
        shedder.record_report(&route("browse"), shortage(500.0, 20, now), now);
        shedder.should_refuse(&route("browse"), Rank::MIN, now);
    }
    assert!(shedder.refused_fraction(&route("browse")) > 0.3);
    let later = start.after(Duration::from_secs(3));
    shedder.should_refuse(&route("browse"), Rank::MAX, later);
    assert!(shedder.refused_fraction(&route("browse")) < f64::EPSILON);
}

/// Nodes of four services; external callers enter at all of them.
fn detector() -> InternalRouteDetector {
    let mut detector = InternalRouteDetector::new();
    let sizes = [("katalog", 6), ("kasse", 4), ("bildarchiv", 3), ("auftrag", 3)];
    detector.set_node_counts(sizes.map(|(name, count)| (origin("zrh-a", name), count)).into());
    detector
}

fn origin(zone: &str, name: &str) -> Origin {
    Origin { zone: zone.parse().unwrap(), service: service(name) }
}

/// Calls stay in their zone, and not every service has a node in every zone.
#[test]
fn a_service_that_a_zone_lacks_is_not_missing_there() {
    let mut detector = InternalRouteDetector::new();
    let sizes = [
        (origin("zrh-a", "katalog"), 5),
        (origin("zrh-a", "kasse"), 3),
        (origin("brn-a", "katalog"), 5),
        (origin("brn-a", "bildarchiv"), 30),
    ];
    detector.set_node_counts(sizes.into());
    for number in 0..200 {
        let caller = if number % 8 < 5 { "katalog" } else { "kasse" };
        detector.record_call(&route("r"), origin("zrh-a", caller));
    }
    assert!(!detector.is_internal(&route("r")));
    (0..1_600).for_each(|_| detector.record_call(&route("r"), origin("zrh-a", "katalog")));
    assert!(detector.is_internal(&route("r")));
}

#[rstest]
#[case::callers(&["katalog", "kasse", "bildarchiv", "auftrag"], false)]
#[case::one_service(&["bildarchiv"], true)]
#[case::two_services(&["katalog", "kasse"], true)]
fn internal_routes_are_detected_by_missing_origins(
    #[case] services: &[&str],
    #[case] is_internal: bool,
) {
    let mut detector = detector();
    for number in 0..200 {
        detector.record_call(&route("r"), origin("zrh-a", services[number % services.len()]));
    }
    assert_eq!(detector.is_internal(&route("r")), is_internal);
}

#[test]
fn a_few_calls_are_not_conclusive() {
    let mut detector = detector();
    (0..20).for_each(|_| detector.record_call(&route("r"), origin("zrh-a", "bildarchiv")));
    assert!(!detector.is_internal(&route("r")));
}

/// An entry node with few callers refuses most of them while a service is short. Answers arrive
/// every `gap_ms`. Returns the fraction refused `after_ms` after the first answer without a
/// shortage.
fn refused_after_a_shortage(gap_ms: u64, after_ms: u64) -> f64 {
    let mut shedder = Shedder::new();
    let over_at = MonoTime::from_millis(6_000);
    let end = over_at.after(Duration::from_millis(after_ms));
    let mut now = MonoTime::from_millis(1_000);
    while now <= end {
        let report = if now < over_at { shortage(800.0, 20, now) } else { None };
        shedder.record_report(&route("browse"), report, now);
        now = now.after(Duration::from_millis(gap_ms));
    }
    // Two plans, because the first only counts requests.
    for at in [end, end.after(Duration::from_millis(60))] {
        shedder.should_refuse(&route("browse"), Rank::MAX, at);
    }
    shedder.refused_fraction(&route("browse"))
}

#[rstest]
#[case::two_answers_a_second(500, 1_000)]
#[case::four_answers_a_second(250, 1_000)]
#[case::ten_answers_a_second(100, 1_000)]
#[case::a_hundred_answers_a_second(10, 500)]
fn an_entry_node_with_few_callers_receives_the_end_of_a_shortage(
    #[case] gap_ms: u64,
    #[case] after_ms: u64,
) {
    let refused = refused_after_a_shortage(gap_ms, after_ms);
    assert!(refused < 0.05, "{refused}");
}

#[test]
fn an_endpoint_without_completed_runs_is_not_short() {
    let mut admission = admission(16);
    for call in 0..4_000_u64 {
        let now = MonoTime::from_micros(1_000_000 + call * 500);
        let decision = admission.offer(&request(call, 1, true, now), now).decision;
        assert_eq!(decision, AdmissionDecision::Run);
        // The upstream turns the call away immediately.
        admission.finish(CallId::new(call), None, now.after(Duration::from_micros(100)));
    }
    assert_eq!(admission.shortage_milli(), 0);
}

#[rstest]
#[case::two_calls_a_second(500)]
#[case::ten_calls_a_second(100)]
fn a_node_with_few_calls_reports_the_end_of_its_shortage(#[case] gap_ms: u64) {
    let mut node = SimulatedNode::new();
    node.surge(6_000, 2);
    assert!(node.admission.shortage_milli() > 500, "{}", node.admission.shortage_milli());
    for step in 1..=2_000 / gap_ms {
        node.offer(100_000 + step, MonoTime::from_millis(3_000 + step * gap_ms));
    }
    assert_eq!(node.admission.shortage_milli(), 0);
}

/// Offers half of the capacity while the upstream immediately turns away the given fraction, as if
/// other work took its capacity. Returns the shortage.
fn shortage_when_turning_away(admission: &mut SlotAdmission, from: u64, fraction: f64) -> u16 {
    let (gap_ms, holding_ms) = (10, 200);
    let mut turned = 0.0;
    let mut ends: std::collections::VecDeque<(MonoTime, CallId)> = Default::default();
    for number in 0..200_u64 {
        let now = MonoTime::from_millis(from + number * gap_ms);
        while ends.front().is_some_and(|(end, _)| *end <= now) {
            let (end, call) = ends.pop_front().unwrap();
            admission.finish(call, Some(Duration::from_millis(holding_ms)), end);
        }
        let request = request(from * 1_000 + number, 1, true, now);
        let call = request.call;
        admission.offer(&request, now);
        turned += fraction;
        if turned >= 1.0 {
            turned -= 1.0;
            admission.finish_turned_away(call, now);
        } else {
            ends.push_back((now.after(Duration::from_millis(holding_ms)), call));
        }
    }
    for (end, call) in ends {
        admission.finish(call, Some(Duration::from_millis(holding_ms)), end);
    }
    admission.shortage_milli()
}

/// Parent requests have to be refused before they start, because most of them fail when their calls
/// do.
#[rstest]
#[case::none(0.0, 0..=0)]
#[case::few(0.1, 0..=0)]
#[case::half(0.55, 400..=700)]
#[case::all(1.0, 0..=0)]
fn work_turned_away_by_an_upstream_counts_as_shortage(
    #[case] fraction: f64,
    #[case] expected: std::ops::RangeInclusive<u16>,
) {
    let mut admission = admission(40);
    shortage_when_turning_away(&mut admission, 1_000, 0.0);
    let shortage = shortage_when_turning_away(&mut admission, 4_000, fraction);
    assert!(expected.contains(&shortage), "{shortage}");
    let later = shortage_when_turning_away(&mut admission, 7_000, 0.0);
    assert_eq!(later, 0);
}
