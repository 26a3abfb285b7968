//! Answers of faulty runners, each part of which may be wrong or end early, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use bytes::Bytes;
use fake::endpoint::End;
use fake::endpoint::Endpoint;
use fake::endpoint::FaultMode;
use fake::endpoint::Written;
use http::StatusCode;
use http_body_util::Full;
use serde_json::json;
use tokio::task::JoinSet;

use crate::router::Answer;
use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::request;
use crate::router::request_with_key;
use crate::router::try_call;

/// The head of a success without its empty line.
macro_rules! head {
    ($($rest:expr),*) => {
        concat!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: seal\r\n", $($rest),*)
    };
}

/// An event of a stream.
macro_rules! event {
    () => {
        "id: 1\ndata: piece 1\n\n"
    };
}

const fn written(begin: &'static str, end: End) -> Written {
    Written { begin, repeated: "", end }
}

/// The paths of a plain answer and of streams that may be resumed or not, with the service of each.
const PATHS: [(&str, &str); 4] = [
    ("/unsafe/x", "ledger"),
    ("/safe/x", "ledger"),
    ("/stream/x", "engines"),
    ("/once/stream/x", "engines"),
];

/// Starts a router and one runner for each service, which writes its answers as `written`.
async fn start(test: &str, written: Written) -> (Platform, Router, Vec<Endpoint>) {
    let platform = Platform::start(test).await;
    let mut configured = configuration(1);
    configured["limits"]["max_body_bytes"] = json!(UPLOAD_BYTES);
    platform.configure(&configured);
    let mut runners = platform.runners("ledger", 1).await;
    runners.extend(platform.runners("engines", 1).await);
    for runner in &runners {
        runner.set_fault_mode(FaultMode::Written(written));
    }
    let router = platform.router("router-1").await;
    router.wait_for_runners(2).await;
    (platform, router, runners)
}

/// Sends a request to each path with a router and runners of its own, and returns the answers.
async fn answers(test: String, written: Written) -> Vec<(&'static str, Answer)> {
    let mut answers = Vec::new();
    for (number, (path, _)) in PATHS.into_iter().enumerate() {
        let (_platform, router, runners) = start(&format!("{test}-{number}"), written).await;
        let answer = router.call(request_with_key("POST", path, "r-1")).await;
        assert!(runners.iter().any(|runner| !runner.requests().is_empty()), "{path}: not sent");
        answers.push((path, answer));
    }
    answers
}

/// Checks that no caller takes what runners write for a whole success, or for an answer with a status of the runner's.
async fn assert_no_success(test: &str, cases: &[Written]) {
    let mut checks = JoinSet::new();
    for (number, case) in cases.iter().copied().enumerate() {
        let name = format!("{test}-{number}");
        checks.spawn(async move { (case, answers(name, case).await) });
    }
    let mut wrong = Vec::new();
    while let Some(checked) = checks.join_next().await {
        let (case, answers) = checked.expect("no check panics");
        for (path, answer) in answers {
            let looks_whole = answer.status.is_success() && answer.is_complete;
            let is_own = answer.status.is_success() || answer.status == StatusCode::BAD_GATEWAY;
            if looks_whole || !is_own {
                wrong.push(format!("{case:?} at {path}: {}, {:?}", answer.status, answer.body));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a head that is cut off and reaches the caller as a success with an empty or short body.
#[tokio::test]
async fn a_head_that_ends_early_becomes_no_success() {
    let heads = [
        "",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-se",
        head!(),
        head!("content-length: 0\r\n"),
        head!("content-length: 12"),
        head!("\r"),
        "HTTP/1.1 100 Continue\r\n\r\n",
        concat!("HTTP/1.1 100 Continue\r\n\r\n", head!()),
    ];
    let ends = [End::Close, End::Reset];
    let cases: Vec<Written> =
        heads.iter().flat_map(|head| ends.map(|end| written(head, end))).collect();
    assert_no_success("head", &cases).await;
}

/// Guards against a body that is cut off and reaches the caller as if it was whole.
#[tokio::test]
async fn a_body_that_ends_before_its_framing_says_so_becomes_no_success() {
    let chunked = |body| written(body, End::Close);
    assert_no_success(
        "body",
        &[
            written(concat!(head!("\r\n"), event!()), End::Reset),
            written(
                concat!(
                    "HTTP/1.0 200 OK\r\nrequest-id: {id}\r\nresponse-seal: seal\r\n\r\n",
                    event!()
                ),
                End::Reset,
            ),
            written(head!("\r\n"), End::Reset),
            written(concat!(head!("content-length: 50\r\n\r\n"), event!()), End::Close),
            written(concat!(head!("content-length: 50\r\n\r\n"), event!()), End::Reset),
            written(head!("content-length: 50\r\n\r\n"), End::Close),
            chunked(concat!(head!("transfer-encoding: chunked\r\n\r\n"))),
            chunked(concat!(head!("transfer-encoding: chunked\r\n\r\n"), "1")),
            chunked(concat!(head!("transfer-encoding: chunked\r\n\r\n"), "15\r\n")),
            chunked(concat!(head!("transfer-encoding: chunked\r\n\r\n"), "15\r\n", event!())),
            chunked(concat!(
                head!("transfer-encoding: chunked\r\n\r\n"),
                "15\r\n",
                event!(),
                "\r\n"
            )),
            chunked(concat!(
                head!("transfer-encoding: chunked\r\n\r\n"),
                "15\r\n",
                event!(),
                "\r\n0"
            )),
            chunked(concat!(
                head!("transfer-encoding: chunked\r\n\r\n"),
                "15\r\n",
                event!(),
                "\r\n0\r\n"
            )),
            chunked(concat!(
                head!("transfer-encoding: chunked\r\n\r\n"),
                "15\r\n",
                event!(),
                "\r\n0\r\nx: y\r\n"
            )),
            chunked(concat!(head!("transfer-encoding: chunked\r\n\r\n"), "15;x=", event!())),
            chunked(concat!(
                head!("transfer-encoding: chunked\r\n\r\n"),
                "14\r\n",
                event!(),
                "\r\n0\r\n\r\n"
            )),
            chunked(concat!(
                head!("transfer-encoding: chunked\r\n\r\n"),
                "-1\r\n",
                event!(),
                "\r\n0\r\n\r\n"
            )),
            chunked(concat!(head!("transfer-encoding: chunked\r\n\r\n"), "\r\n0\r\n\r\n")),
            chunked(concat!(
                head!("transfer-encoding: chunked\r\n\r\n"),
                "1fffffffffffffff5\r\n",
                event!(),
                "\r\n0\r\n\r\n"
            )),
        ],
    )
    .await;
}

/// Guards against a framing that no router can read, whose bytes reach the caller as a whole body.
#[tokio::test]
async fn a_body_whose_framing_is_unknown_becomes_no_success() {
    let closed = |body| written(body, End::Close);
    assert_no_success(
        "framing",
        &[
            closed(head!("transfer-encoding: identity\r\n\r\n")),
            closed(concat!(head!("transfer-encoding: identity\r\n\r\n"), event!())),
            closed(concat!(head!("transfer-encoding: gzip\r\n\r\n"), event!())),
            closed(concat!(
                head!("transfer-encoding: gzip, chunked\r\n\r\n"),
                "15\r\n",
                event!(),
                "\r\n0\r\n\r\n"
            )),
            closed(concat!(head!("transfer-encoding: chunked, gzip\r\n\r\n"), event!())),
            closed(concat!(
                head!("transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n"),
                event!()
            )),
            closed(concat!(
                head!("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n"),
                "15\r\n",
                event!(),
                "\r\n0\r\n\r\n"
            )),
            closed(concat!(head!("content-length: 21\r\ncontent-length: 20\r\n\r\n"), event!())),
            closed(concat!(head!("content-length: 21, 20\r\n\r\n"), event!())),
            closed(concat!(head!("content-length: -1\r\n\r\n"), event!())),
            closed(concat!(head!("content-length: \r\n\r\n"), event!())),
            closed(concat!(head!("content-length: 99999999999999999999\r\n\r\n"), event!())),
            closed(concat!(
                head!("content-length: 21\r\ncontent-encoding: gzip\r\n\r\n"),
                event!()
            )),
        ],
    )
    .await;
}

/// Guards against a status that no answer has, which reaches the caller as the runner's answer.
#[tokio::test]
async fn a_status_that_is_none_becomes_no_answer() {
    macro_rules! with_status {
        ($status:literal) => {
            written(
                concat!(
                    "HTTP/1.1 ",
                    $status,
                    " X\r\nrequest-id: {id}\r\nresponse-seal: seal\r\ncontent-length: 2\r\n\r\nok"
                ),
                End::Close,
            )
        };
    }
    assert_no_success(
        "status",
        &[
            with_status!("000"),
            with_status!("001"),
            with_status!("099"),
            with_status!("101"),
            with_status!("199"),
            with_status!("600"),
            with_status!("700"),
            with_status!("999"),
            with_status!("1000"),
            with_status!("20"),
            with_status!("2xx"),
            with_status!("-200"),
        ],
    )
    .await;
}

/// The size of an upload, in bytes; more than the kernel buffers of both ends hold.
const UPLOAD_BYTES: usize = 12 << 20;

/// Guards against a part of a body without a length that looks whole, since the reset was reported to the write of the
/// request's body.
#[tokio::test]
async fn an_answer_that_is_reset_while_the_upload_is_written_becomes_no_success() {
    let cases = [
        written(concat!(head!("\r\n"), "part"), End::Reset),
        written(concat!(head!("\r\n"), event!()), End::Reset),
        written(concat!(head!("\r\n"), "part"), End::ResetAtOnce),
        written(concat!(head!("\r\n"), event!()), End::ResetAtOnce),
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let (_platform, router, runners) = start(&format!("upload-{number}"), case).await;
        let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
        for (path, _) in PATHS {
            for at_once in [1, 8] {
                let mut calls = JoinSet::new();
                for number in 0..at_once {
                    let upload = request("POST", path, &format!("r-{number}"))
                        .header("api-key", router::API_KEY)
                        .body(Full::new(body.clone()))
                        .expect("a request");
                    calls.spawn(try_call(router.callers, upload));
                }
                while let Some(called) = calls.join_next().await {
                    let Ok(answer) = called.expect("no call panics") else { continue };
                    let looks_whole = answer.status.is_success() && answer.is_complete;
                    assert!(!looks_whole, "{path}: {:?}", answer.body);
                }
            }
        }
        assert!(
            runners.iter().all(|runner| !runner.requests().is_empty()),
            "no upload reached a runner"
        );
    }
}
