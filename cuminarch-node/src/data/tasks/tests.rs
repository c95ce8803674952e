use tokio::runtime::{Builder, LocalOptions};

use super::*;

#[test]
fn a_task_panic_is_reported_and_other_tasks_continue() {
    let runtime = Builder::new_current_thread().build_local(LocalOptions::default()).unwrap();
    runtime.block_on(async {
        let (tasks, mut panics) = Tasks::new();
        let (done, receiver) = tokio::sync::oneshot::channel();
        tasks.spawn(async { panic!("task failure") });
        tasks.spawn(async {
            let _ = done.send(7);
        });
        assert_eq!(receiver.await, Ok(7));
        let panic = panics.next().await;
        assert_eq!(panic.downcast_ref::<&str>(), Some(&"task failure"));
    });
}
