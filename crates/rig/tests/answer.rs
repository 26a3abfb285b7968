//! Tests of which answers a caller accepts as complete.

use std::net::SocketAddr;
use std::time::Duration;

use base::Verdict;
use rig::Answer;
use rig::Call;
use rig::Caller;
use rig::Failure;
use rig::FakeProcess;
use rig::Mismatch;
use rig::RunDirectory;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

const PROMPT: &str = "a matte van";

fn token(index: u32) -> String {
    let data = serde_json::json!({ "index": index, "text": fake::engine::token(PROMPT, index) });
    format!("data: {data}\n\n")
}

/// Calls a server that answers with a body and closes the connection.
async fn answer(content_type: &str, status: &str, body: &str) -> Answer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {content_type}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let serving = async {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        stream.write_all(text.as_bytes()).await.expect("sent");
    };
    let call = Call::completion("belay", PROMPT, 3);
    let caller = Caller::new("crag-token", &[address]);
    let (answer, ()) = tokio::join!(caller.call(&call), serving);
    answer
}

async fn check(events: &[&str]) -> Result<(), Mismatch> {
    answer("text/event-stream", "200 OK", &events.concat()).await.check_complete(PROMPT, 3)
}

#[tokio::test]
async fn only_all_tokens_in_order_with_the_end_mark_are_complete() {
    let (zero, one, two) = (token(0), token(1), token(2));
    let done = "data: [DONE]\n\n";
    assert_eq!(check(&[&zero, &one, &two, done]).await, Ok(()));
    assert_eq!(check(&[&zero, &one, &two]).await, Err(Mismatch::Incomplete { tokens: 3 }));
    assert_eq!(check(&[&zero, &one, done]).await, Err(Mismatch::Incomplete { tokens: 2 }));
    assert_eq!(check(&[&zero, &one, done, &two]).await, Err(Mismatch::Incomplete { tokens: 3 }));
    assert_eq!(
        check(&[&zero, &one, &one, &two, done]).await,
        Err(Mismatch::WrongToken { index: 2 })
    );
    assert_eq!(check(&[&zero, &two, done]).await, Err(Mismatch::WrongToken { index: 1 }));
    assert_eq!(
        check(&[&zero, &one, &two, &token(3), done]).await,
        Err(Mismatch::WrongToken { index: 3 })
    );
}

#[tokio::test]
async fn problems_are_read_from_bodies_and_from_the_last_event() {
    let problem = r#"{"type":"about:blank","title":"x","status":503,"detail":"d","verdict":"not-run","retry_after_ms":250}"#;
    let refused = answer("application/problem+json", "503 Service Unavailable", problem).await;
    assert_eq!(refused.verdict(), Some(Verdict::NotRun));
    assert_eq!(refused.retry_after(), Some(Duration::from_millis(250)));
    assert_eq!(refused.check_complete(PROMPT, 3), Err(Mismatch::NoSuccess));
    let events = format!("{}event: error\ndata: {problem}\n\n", token(0));
    let broken = answer("text/event-stream", "200 OK", &events).await;
    assert_eq!((broken.verdict(), broken.is_success()), (Some(Verdict::NotRun), false));
    assert_eq!(broken.check_complete(PROMPT, 3), Err(Mismatch::Incomplete { tokens: 1 }));
}

#[tokio::test]
async fn broken_answers_and_calls_ended_by_the_caller_report_their_failure() {
    let directory = RunDirectory::new().expect("a directory");
    let engine = FakeProcess::start(&directory, "belay-1", &["engine", "--fall-ms", "600000"])
        .expect("started");
    let caller = Caller::direct(engine.address());
    let call = Call::completion("belay", PROMPT, 100_000);
    let crash = async {
        while engine.load().await.expect("a report").tokens == 0 {
            tokio::task::yield_now().await;
        }
        engine.control("crash", &()).await.expect("an accepted control request");
    };
    let (broken, ()) = tokio::join!(caller.call(&call), crash);
    assert_eq!(broken.failure, Some(Failure::Broken));
    let refused = caller.call(&call).await;
    assert!(matches!(refused.failure, Some(Failure::Connect | Failure::NoHead)), "{refused:?}");
    let other = FakeProcess::start(&directory, "belay-2", &["engine"]).expect("started");
    let left = Caller::direct(other.address()).call(&call.hang_up_after(2)).await;
    assert_eq!((left.failure, left.tokens.len()), (Some(Failure::HungUp), 2));
    let times: Vec<Duration> = left.tokens.iter().map(|token| token.at).collect();
    assert_eq!(
        (left.first_token(), left.token_intervals()),
        (Some(times[0]), vec![times[1] - times[0]])
    );
}

#[tokio::test]
async fn a_caller_goes_to_the_next_router_only_if_it_cannot_connect() {
    let directory = RunDirectory::new().expect("a directory");
    let service = FakeProcess::start(&directory, "orders-1", &["service"]).expect("started");
    // A socket that is bound and does not listen refuses connections and keeps its port from other tests.
    let reserved = TcpSocket::new_v4().expect("a socket");
    reserved.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bound");
    let closed = reserved.local_addr().expect("bound");
    let caller = Caller::new("crag-token", &[closed, service.address()]);
    let call = Call::non_idempotent("orders", "orders", "x");
    assert!(caller.call(&call).await.is_success());
    assert_eq!(caller.routers(), [service.address(), closed]);
    service
        .control("crash", &serde_json::json!({ "after_run": true }))
        .await
        .expect("an accepted control request");
    assert_eq!(caller.call(&call).await.failure, Some(Failure::NoHead));
    let journal = service.journal().await.expect("read");
    let seen: Vec<_> =
        journal.requests.iter().map(|e| (e.key.as_deref(), e.path.as_str())).collect();
    assert_eq!(seen, [(call.idempotency_key(), "/v1/services/orders/orders"); 2]);
}
