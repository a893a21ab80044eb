//! Which orders are submitted to the node when the HTTP server drops their handler.

use actix_web::test::TestRequest;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::*;

/// Runs the handler of an order on a connection without a known start for `time`, then drops it as
/// the HTTP server does when the caller closes the connection; returns the command it submitted.
async fn order_given_up_after(time: Duration) -> Option<Command> {
    let (commands, mut submitted) = mpsc::unbounded_channel();
    let request = TestRequest::default().to_http_request();
    let zone = Path::from("z9".to_string());
    let handler = restore(Data::new(commands), zone, request);
    let _ = timeout(time, handler).await;
    submitted.try_recv().ok()
}

/// Guards against an order that arrives after its caller has given up, as after lost packets, with
/// the end of the stream one round trip behind it.
#[tokio::test(start_paused = true)]
async fn an_order_that_may_have_been_delayed_waits_for_the_end_of_the_stream() {
    let given_up = order_given_up_after(END_OF_STREAM_DELAY / 2).await;
    assert!(given_up.is_none(), "{given_up:?}");
    let waited_for = order_given_up_after(END_OF_STREAM_DELAY * 2).await;
    assert!(waited_for.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_order_submitted_before_its_caller_gave_up_knows_that_nobody_waits() {
    let submitted = order_given_up_after(END_OF_STREAM_DELAY * 2).await;
    let Some(Command::SetZoneState { caller, .. }) = submitted else {
        panic!("{submitted:?}");
    };
    assert!(!caller.is_waiting());
}

#[tokio::test(start_paused = true)]
async fn an_order_that_arrives_with_its_connection_does_not_wait() {
    let accepted_at = Instant::now();
    wait_for_end_of_stream(Some(accepted_at)).await;
    assert_eq!(accepted_at.elapsed(), Duration::ZERO);
    sleep(PROMPT_ARRIVAL).await;
    wait_for_end_of_stream(Some(accepted_at)).await;
    assert_eq!(accepted_at.elapsed(), PROMPT_ARRIVAL + END_OF_STREAM_DELAY);
}
