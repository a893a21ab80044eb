use super::*;

#[tokio::test]
async fn a_flow_looks_whole_only_where_it_was_ended() {
    let (outlet, mut parts) = flow();
    outlet
        .pass(Bytes::from_static(b"a"))
        .await
        .expect("the client is there");
    outlet.end().await;
    assert!(matches!(parts.0.recv().await, Some(Part::Bytes(_))));
    assert!(matches!(parts.0.recv().await, Some(Part::End)));
}

#[tokio::test]
async fn dropping_the_outlet_breaks_the_answer_off() {
    let (outlet, parts) = flow();
    outlet
        .pass(Bytes::from_static(b"a"))
        .await
        .expect("the client is there");
    drop(outlet);
    let told: Vec<bool> = parts_of(parts).await;
    assert_eq!(told, [true, false]);
}

#[tokio::test]
async fn a_client_that_left_is_told() {
    let (outlet, parts) = flow();
    drop(parts);
    outlet.left().await;
    assert_eq!(outlet.pass(Bytes::new()).await, Err(Left));
}

/// For each item of a flow whether it is bytes rather than an error.
async fn parts_of(flow: Flow) -> Vec<bool> {
    use futures_util::StreamExt as _;
    stream_of(flow.0).map(|part| part.is_ok()).collect().await
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let response = refused(503, "0.250");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        response
            .headers()
            .get(RETRY_AFTER)
            .map(HeaderValue::as_bytes),
        Some(&b"0.250"[..])
    );
}
