use super::*;

fn run(work: impl FnOnce() + Send + 'static, is_stopping: bool) -> (DutyState, Option<DutyError>) {
    let (duties, duty_errors) = Duties::new();
    if is_stopping {
        duties.begin_shutdown();
    }
    duties.spawn("work", work).unwrap().join().unwrap();
    (duties.states()["work"].clone(), duty_errors.try_recv().ok())
}

#[test]
fn a_duty_that_panics_is_an_error_even_while_the_node_stops() {
    for is_stopping in [false, true] {
        let (state, error) = run(|| panic!("out of luck"), is_stopping);
        assert_eq!(state, DutyState::Failed { reason: "out of luck".into() });
        let text = error.unwrap().to_string();
        assert_eq!(text, "the work duty ended unexpectedly: out of luck");
    }
}

#[test]
fn a_duty_that_returns_is_an_error_unless_the_node_stops() {
    let (state, error) = run(|| {}, false);
    assert_eq!(state, DutyState::Failed { reason: "it returned".into() });
    assert!(error.is_some());
    let (state, error) = run(|| {}, true);
    assert_eq!((state, error), (DutyState::Ended, None));
}
