use super::*;

fn run(work: impl FnOnce() + Send + 'static, is_stopping: bool) -> (DutyState, Option<DutyError>) {
    let (duties, faults) = Duties::new();
    if is_stopping {
        duties.begin_shutdown();
    }
    duties.spawn("work", work).unwrap().join().unwrap();
    (duties.states()["work"].clone(), faults.try_recv().ok())
}

#[test]
fn a_duty_that_panics_is_a_fault_also_while_the_node_stops() {
    for is_stopping in [false, true] {
        let (state, fault) = run(|| panic!("out of luck"), is_stopping);
        assert_eq!(state, DutyState::Failed { reason: "out of luck".into() });
        let text = fault.unwrap().to_string();
        assert_eq!(text, "the work duty ended unexpectedly: out of luck");
    }
}

#[test]
fn a_duty_that_returns_is_a_fault_unless_the_node_stops() {
    let (state, fault) = run(|| {}, false);
    assert_eq!(state, DutyState::Failed { reason: "it returned".into() });
    assert!(fault.is_some());
    let (state, fault) = run(|| {}, true);
    assert_eq!((state, fault), (DutyState::Ended, None));
}
