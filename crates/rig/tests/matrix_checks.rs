//! Tests that the checks of the matrix detect failures; the calls go to runners without a router.

use base::Verdict;
use fake::journal;
use fake::journal::Entry;
use http::HeaderMap;
use http::StatusCode;
use indexmap::IndexMap;
use rig::Answer;
use rig::Call;
use rig::Caller;
use rig::Failure;
use rig::FakeProcess;
use rig::Problem;
use rig::RunDirectory;
use rig::matrix;
use rig::matrix::Cell;
use rig::matrix::Outcome;
use serde_json::json;

const PROMPT: &str = "a matte van";

async fn journals(process: &FakeProcess) -> IndexMap<String, journal::Report> {
    let journal = process.journal().await.expect("a journal");
    [(process.name().to_owned(), journal)].into_iter().collect()
}

#[tokio::test]
async fn a_repeat_that_no_router_stops_is_counted_as_a_second_execution() {
    let directory = RunDirectory::new().expect("a directory");
    let service = FakeProcess::start(&directory, "ledger-1", &["service"]).expect("started");
    let caller = Caller::direct(service.address());
    let call = Call::non_idempotent("ledger", "/ascents", "route 17");
    for wanted in 1..=2 {
        assert_eq!(
            matrix::check_answer(&call, &caller.call(&call).await, false),
            Ok(Outcome::Complete)
        );
        assert_eq!(matrix::execution_count(&call, &journals(&service).await), wanted);
    }
    let other = Call::non_idempotent("ledger", "/ascents", "route 18");
    assert_eq!(matrix::execution_count(&other, &journals(&service).await), 0);
}

#[tokio::test]
async fn a_broken_answer_is_a_failure_unless_the_router_was_killed() {
    let directory = RunDirectory::new().expect("a directory");
    let args = ["engine", "--token-interval-ms", "5"];
    let engine = FakeProcess::start(&directory, "belay-1", &args).expect("started");
    let caller = Caller::direct(engine.address());
    let call = Call::completion("belay", PROMPT, 100_000);
    let crash = async {
        while engine.load().await.expect("a report").tokens == 0 {
            tokio::task::yield_now().await;
        }
        engine.control("crash", &json!({})).await.expect("an accepted control request");
    };
    let (broken, ()) = tokio::join!(caller.call(&call), crash);
    assert_eq!(matrix::check_answer(&call, &broken, false), Err("no answer: broken".to_owned()));
    assert_eq!(matrix::check_answer(&call, &broken, true), Ok(Outcome::Broken));
    let late = Answer { failure: Some(Failure::Timeout), ..broken };
    assert_eq!(matrix::check_answer(&call, &late, true), Err("no answer: timeout".to_owned()));
}

#[tokio::test]
async fn an_incomplete_answer_and_one_to_another_call_are_failures() {
    let directory = RunDirectory::new().expect("a directory");
    let engine = FakeProcess::start(&directory, "belay-1", &["engine"]).expect("started");
    let caller = Caller::direct(engine.address());
    let call = Call::completion("belay", PROMPT, 4);
    let complete = caller.call(&call).await;
    assert_eq!(matrix::check_answer(&call, &complete, false), Ok(Outcome::Complete));
    let half = Answer { is_done: false, tokens: complete.tokens[..2].to_vec(), ..complete.clone() };
    let failure = matrix::check_answer(&call, &half, true).expect_err("an incomplete answer");
    assert!(failure.starts_with("incomplete: status Some(200), 2 tokens"), "{failure}");
    let early = Answer { tokens: complete.tokens[..2].to_vec(), ..complete.clone() };
    assert!(
        matrix::check_answer(&call, &early, true).is_err(),
        "an end mark before the last token"
    );
    let other = Call::completion("belay", "another van", 4);
    let other_answer = Err("token of another answer at index 0".to_owned());
    assert_eq!(matrix::check_answer(&other, &complete, true), other_answer);
    let refused = Answer { problem: Some(problem(Verdict::MayHaveRun, None)), ..complete };
    assert_eq!(
        matrix::check_answer(&other, &refused, true),
        other_answer,
        "a refusal doesn't hide tokens of another answer"
    );
}

#[tokio::test]
async fn the_echo_of_another_call_is_a_failure() {
    let directory = RunDirectory::new().expect("a directory");
    let service = FakeProcess::start(&directory, "ledger-1", &["service"]).expect("started");
    let call = Call::non_idempotent("ledger", "/ascents", "route 17");
    let answer = Caller::direct(service.address()).call(&call).await;
    let other = call.body("route 18");
    let failure =
        matrix::check_answer(&other, &answer, true).expect_err("the echo of another call");
    assert!(failure.starts_with("incomplete: status Some(200)"), "{failure}");
}

#[test]
fn a_not_run_verdict_is_wrong_if_a_runner_has_received_the_request() {
    let call = Call::non_idempotent("ledger", "/ascents", "route 17");
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", "request-1".parse().expect("plain"));
    let report = journal::Report {
        requests: vec![Entry::new("/ascents", &headers, b"route 17", 1)],
        orders: Vec::new(),
        peak_cold: 0,
        crashes: 0,
        cancels: 0,
        raw_connections: 0,
        raw_bytes: 0,
    };
    let journals: IndexMap<_, _> = [("ledger-1".to_owned(), report)].into_iter().collect();
    let is_true = |verdict, request| {
        let answer = Answer {
            status: Some(StatusCode::SERVICE_UNAVAILABLE),
            problem: Some(problem(verdict, request)),
            ..Answer::default()
        };
        matrix::check_verdict(&call, &answer, &journals).is_ok()
    };
    let found = [
        is_true(Verdict::NotRun, Some("request-1")),
        is_true(Verdict::NotRun, None),
        is_true(Verdict::NotRun, Some("request-2")),
        is_true(Verdict::MayHaveRun, Some("request-1")),
    ];
    assert_eq!(found, [false, false, true, true]);
}

#[test]
fn the_matrix_has_every_fault_at_every_step_and_gives_reasons_for_inapplicable_cells() {
    let cells = Cell::all(7);
    let inapplicable = cells.iter().filter(|cell| cell.inapplicable_reason().is_some()).count();
    assert_eq!((cells.len(), inapplicable), (15 * 9 * 2, 75));
    assert!(
        Cell::quick(7)
            .iter()
            .all(|cell| cells.contains(cell) && cell.inapplicable_reason().is_none())
    );
}

fn problem(verdict: Verdict, request: Option<&str>) -> Problem {
    let request = request.map(str::to_owned);
    Problem { status: 503, detail: String::new(), verdict, retry_after_ms: None, request }
}
