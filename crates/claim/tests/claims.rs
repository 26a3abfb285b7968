//! Claims against a small log service with faults.

#[path = "../../plat/tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::RequestId;
use claim::Answer;
use claim::Claims;
use claim::Decision;
use claim::Refusal;
use claim::Request;
use claim::Settings;
use claim::Ticket;
use plat::Log;
use support::Server;
use tokio::task::JoinSet;
use uuid::Uuid;

const HOUR: Duration = Duration::from_secs(3600);
const PATIENCE: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(5);

fn start_with(server: &Server, retention: Duration, deadline: Duration) -> Claims {
    let settings =
        Settings { router: Name::new("r1"), stream: "claims".to_owned(), retention, deadline };
    Claims::start(settings, Log::new(server.address))
}

async fn start(server: &Server) -> Claims {
    let claims = start_with(server, HOUR, Duration::from_secs(5));
    until(|| claims.is_healthy()).await;
    claims
}

async fn until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.expect("the condition comes true");
}

fn request(key: Uuid) -> Request {
    Request {
        workspace: Name::new("acme"),
        service: Name::new("orders"),
        key,
        digest: [1; 32],
        request: RequestId::generate(),
    }
}

fn answer() -> Answer {
    Answer { status: 201, content_type: None, body: b"created".to_vec() }
}

/// Claims a key and tells the decision in a form that can be compared.
async fn decide(claims: &Claims, key: Uuid) -> Result<Ticket, String> {
    match claims.claim(request(key)).await {
        Decision::Acquired(ticket) => Ok(ticket),
        other => Err(format!("{other:?}")),
    }
}

async fn told(claims: &Claims, key: Uuid) -> String {
    match decide(claims, key).await {
        Ok(_) => "won".to_owned(),
        Err(told) => told,
    }
}

/// Claims a key until it is won.
async fn win(claims: &Claims, key: Uuid) -> Ticket {
    let winning = async {
        loop {
            match decide(claims, key).await {
                Ok(ticket) => return ticket,
                Err(_) => tokio::time::sleep(POLL_PERIOD).await,
            }
        }
    };
    tokio::time::timeout(PATIENCE, winning).await.expect("the claim is won")
}

fn refused(refusal: Refusal) -> String {
    format!("{:?}", Decision::Refused(refusal))
}

fn log_down() -> String {
    refused(Refusal::LogDown { retry_after: Duration::from_secs(1) })
}

fn finished() -> String {
    format!("{:?}", Decision::Finished(answer()))
}

#[tokio::test]
async fn a_claimed_call_is_unfinished_elsewhere_until_its_outcome_is_recorded() {
    let server = Server::start().await;
    let (one, two) = (start(&server).await, start(&server).await);
    let key = Uuid::now_v7();
    let ticket = decide(&one, key).await.expect("the first claim wins");
    assert_eq!(told(&two, key).await, "Unfinished");
    assert_eq!(one.record(&ticket, answer()).await, Ok(()));
    let offset = server.appends() + 1;
    until(|| two.status().tail == offset).await;
    assert_eq!(told(&two, key).await, finished());
    let restarted = start(&server).await;
    assert_eq!(told(&restarted, key).await, finished());
}

#[tokio::test]
async fn racing_routers_have_one_winner() {
    let server = Server::start().await;
    let routers = [start(&server).await, start(&server).await, start(&server).await];
    for _ in 0..20 {
        let key = Uuid::now_v7();
        let [one, two, three] = &routers;
        let told = tokio::join!(told(one, key), told(two, key), told(three, key));
        let mut told = [told.0, told.1, told.2];
        told.sort();
        assert_eq!(told, ["Unfinished", "Unfinished", "won"]);
    }
}

#[tokio::test]
async fn a_key_with_another_content_is_refused() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    decide(&claims, key).await.expect("the first claim wins");
    let other = claims.claim(Request { digest: [2; 32], ..request(key) }).await;
    assert_eq!(format!("{other:?}"), refused(Refusal::KeyReused));
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_found_by_reading_back() {
    let server = Server::start().await;
    let claims = start(&server).await;
    server.faults(|faults| faults.lose_answers = 1);
    decide(&claims, Uuid::now_v7()).await.expect("the claim wins");
}

#[tokio::test]
async fn a_lost_append_is_repeated_within_the_deadline() {
    let server = Server::start().await;
    let claims = start(&server).await;
    server.faults(|faults| faults.lose_appends = 1);
    decide(&claims, Uuid::now_v7()).await.expect("the claim wins");
    assert_eq!(server.appends(), 1);
}

#[tokio::test]
async fn a_throttled_claim_is_appended_again_within_the_deadline() {
    let server = Server::start().await;
    let claims = start(&server).await;
    server.faults(|faults| faults.appends_per_second = Some(0));
    let unthrottle = async {
        until(|| server.throttled() == 1).await;
        server.faults(|faults| faults.appends_per_second = None);
    };
    let (told, ()) = tokio::join!(told(&claims, Uuid::now_v7()), unthrottle);
    assert_eq!(told, "won");
}

#[tokio::test]
async fn silent_connections_are_replaced_within_the_deadline() {
    let server = Server::start().await;
    let claims = start(&server).await;
    server.silence_open_connections();
    decide(&claims, Uuid::now_v7()).await.expect("the claim wins");
}

#[tokio::test]
async fn claims_are_refused_while_the_log_is_down_and_taken_afterwards() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.down = true);
    assert_eq!(told(&claims, key).await, log_down());
    until(|| !claims.is_healthy()).await;
    let appends = server.refusals();
    assert_eq!(told(&claims, key).await, log_down());
    assert_eq!(server.refusals(), appends);
    server.faults(|faults| faults.down = false);
    until(|| claims.is_healthy()).await;
    decide(&claims, key).await.expect("the claim wins");
    assert_eq!(server.appends(), 1);
}

#[tokio::test]
async fn a_claim_that_is_not_read_back_in_time_is_released() {
    let server = Server::start().await;
    let claims = start_with(&server, HOUR, Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.hide_from = Some(1));
    assert_eq!(told(&claims, key).await, log_down());
    until(|| server.bodies().concat().contains(r#"{"r":"#)).await;
    server.faults(|faults| faults.hide_from = None);
    let patient = start(&server).await;
    decide(&patient, key).await.expect("the key is free again");
}

#[tokio::test]
async fn a_claim_that_lands_after_its_release_is_void() {
    let server = Server::start().await;
    let claims = start_with(&server, HOUR, Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.hold_appends = 1);
    server.faults(|faults| faults.hide_from = Some(1));
    assert_eq!(told(&claims, key).await, log_down());
    until(|| server.held() == 1 && server.bodies().concat().contains(r#"{"r":"#)).await;
    server.land();
    server.faults(|faults| faults.hide_from = None);
    let patient = start(&server).await;
    decide(&patient, key).await.expect("the key is free");
}

#[tokio::test]
async fn a_claim_whose_caller_stops_waiting_is_released() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.hide_from = Some(1));
    tokio::select! {
        _ = claims.claim(request(key)) => panic!("a claim can't be read back"),
        () = until(|| server.appends() == 1) => (),
    }
    server.faults(|faults| faults.hide_from = None);
    win(&claims, key).await;
}

#[tokio::test]
async fn a_released_key_can_be_claimed_again() {
    let server = Server::start().await;
    let (one, two) = (start(&server).await, start(&server).await);
    let key = Uuid::now_v7();
    let ticket = decide(&one, key).await.expect("the first claim wins");
    one.release(ticket).await;
    win(&two, key).await;
}

#[tokio::test]
async fn an_outcome_is_written_when_the_log_is_back() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    let ticket = decide(&claims, key).await.expect("the first claim wins");
    server.faults(|faults| faults.down = true);
    let written = claims.record(&ticket, answer()).await;
    let retry_after = Duration::from_secs(1);
    assert_eq!(written, Err(plat::Error::Unavailable { retry_after }));
    assert_eq!(told(&claims, key).await, "Unfinished");
    server.faults(|faults| faults.down = false);
    until(|| server.appends() == 2).await;
    let restarted = start(&server).await;
    assert_eq!(told(&restarted, key).await, finished());
}

#[tokio::test]
async fn a_router_that_started_empty_reads_the_window_before_it_takes_calls() {
    let server = Server::start().await;
    let first = start(&server).await;
    let key = Uuid::now_v7();
    decide(&first, key).await.expect("the first claim wins");
    for _ in 0..1_000 {
        server.append("[]");
    }
    server.append("of an unknown form");
    let restarted = start_with(&server, HOUR, Duration::from_secs(5));
    let not_ready = refused(Refusal::NotReady { retry_after: Duration::from_secs(1) });
    assert_eq!(told(&restarted, Uuid::now_v7()).await, not_ready);
    assert!(!restarted.is_healthy());
    until(|| restarted.is_healthy()).await;
    assert_eq!(restarted.status().tail, 1_003);
    assert_eq!(told(&restarted, key).await, "Unfinished");
}

#[tokio::test]
async fn keys_that_records_past_retention_may_concern_are_refused() {
    let server = Server::start().await;
    let claims = start_with(&server, Duration::from_secs(4), Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    win(&claims, Uuid::now_v7()).await;
    let old = Uuid::now_v7();
    server.retain_from(10);
    until(|| claims.status().tail == 10 && claims.is_healthy()).await;
    assert_eq!(told(&claims, old).await, refused(Refusal::KeyTooOld));
    win_new_key(&claims).await;
}

#[tokio::test]
async fn keys_are_refused_that_a_log_which_lost_its_records_may_concern() {
    let server = Server::start().await;
    let claims = start_with(&server, Duration::from_secs(4), Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    win(&claims, Uuid::now_v7()).await;
    let old = Uuid::now_v7();
    server.restart_empty();
    until(|| claims.status().tail == 1 && claims.is_healthy()).await;
    assert_eq!(told(&claims, old).await, refused(Refusal::KeyTooOld));
    win_new_key(&claims).await;
}

/// Claims new keys until one is won.
async fn win_new_key(claims: &Claims) {
    let winning = async {
        while decide(claims, Uuid::now_v7()).await.is_err() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(PATIENCE, winning).await.expect("a new key is accepted");
}

#[tokio::test]
async fn claims_of_one_moment_share_an_append() {
    let server = Server::start().await;
    let claims = Arc::new(start(&server).await);
    let mut callers = JoinSet::new();
    for _ in 0..100 {
        let claims = claims.clone();
        callers.spawn(async move { told(&claims, Uuid::now_v7()).await });
    }
    let told = callers.join_all().await;
    assert_eq!(told, vec!["won"; 100]);
    assert!(server.appends() < 50, "{} appends", server.appends());
}

#[tokio::test]
async fn a_shutdown_writes_what_waits() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let ticket = decide(&claims, Uuid::now_v7()).await.expect("the first claim wins");
    claims.release(ticket).await;
    claims.shutdown().await;
    assert_eq!(server.appends(), 2);
}
