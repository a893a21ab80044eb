use std::rc::Rc;

use slog::{Discard, o};
use tokio::sync::oneshot;

use super::*;

fn tasks() -> Tasks {
    Tasks::new(&Logger::root(Discard, o!()))
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Yields often enough for every task that is ready to run.
async fn run_ready_tasks() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

#[test]
fn tasks_end_with_their_owner() {
    run(async {
        let tasks = tasks();
        let token = Rc::new(());
        for _ in 0..3 {
            let token = Rc::clone(&token);
            tasks.spawn("connection", async move {
                std::future::pending::<()>().await;
                drop(token);
            });
        }
        run_ready_tasks().await;
        assert_eq!((tasks.running(), Rc::strong_count(&token)), (3, 4));
        drop(tasks);
        run_ready_tasks().await;
        assert_eq!(Rc::strong_count(&token), 1);
    });
}

#[test]
fn tasks_that_have_ended_are_no_longer_counted() {
    run(async {
        let tasks = tasks();
        for _ in 0..100 {
            tasks.spawn("connection", async {});
            run_ready_tasks().await;
        }
        assert_eq!(tasks.running(), 0);
    });
}

#[test]
fn a_panic_in_a_single_connection_leaves_the_others() {
    run(async {
        let tasks = tasks();
        let (sender, receiver) = oneshot::channel();
        tasks.spawn("connection", async {
            panic!("a panic provoked by the test")
        });
        tasks.spawn("other", async move { sender.send(7).expect("awaited") });
        assert_eq!(receiver.await, Ok(7));
        run_ready_tasks().await;
        assert!(tasks.failed().now_or_never().is_none());
    });
}

#[test]
fn a_panic_in_an_essential_task_is_reported_with_its_name() {
    run(async {
        let tasks = tasks();
        tasks.spawn_essential("feed", async { panic!("a panic provoked by the test") });
        assert_eq!(tasks.failed().await, TaskFailed { task: "feed" });
        assert_eq!(
            tasks.failed().await,
            TaskFailed { task: "feed" },
            "a later caller gets the failure, too"
        );
    });
}

#[test]
fn an_essential_task_that_ends_is_no_failure() {
    run(async {
        let tasks = tasks();
        tasks.spawn_essential("feed", async {});
        run_ready_tasks().await;
        assert!(tasks.failed().now_or_never().is_none());
    });
}
