use super::*;

#[tokio::test]
async fn body_looks_complete_after_finish() {
    let (sender, mut receiver) = body_channel();
    sender
        .send(Bytes::from_static(b"a"))
        .await
        .expect("the client is connected");
    sender.finish().await;
    assert!(matches!(receiver.0.recv().await, Some(BodyItem::Chunk(_))));
    assert!(matches!(receiver.0.recv().await, Some(BodyItem::End)));
}

#[tokio::test]
async fn dropping_the_sender_aborts_the_response() {
    let (sender, receiver) = body_channel();
    sender
        .send(Bytes::from_static(b"a"))
        .await
        .expect("the client is connected");
    drop(sender);
    let are_chunks: Vec<bool> = are_chunks(receiver).await;
    assert_eq!(are_chunks, [true, false]);
}

#[tokio::test]
async fn sender_learns_that_the_client_disconnected() {
    let (sender, receiver) = body_channel();
    drop(receiver);
    sender.disconnected().await;
    assert_eq!(sender.send(Bytes::new()).await, Err(Disconnected));
}

/// For each item of a body, whether it is a chunk rather than an error.
async fn are_chunks(receiver: BodyReceiver) -> Vec<bool> {
    use futures_util::StreamExt as _;
    body_stream(receiver.0)
        .map(|item| item.is_ok())
        .collect()
        .await
}

#[test]
fn rejection_has_its_retry_after_header() {
    let response = rejection(503, "0.250");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        response
            .headers()
            .get(RETRY_AFTER)
            .map(HeaderValue::as_bytes),
        Some(&b"0.250"[..])
    );
}
