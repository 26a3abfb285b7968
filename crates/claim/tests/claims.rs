//! Tests of claims against a fake log service with faults.

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
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
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
    tokio::time::timeout(TEST_TIMEOUT, waiting)
        .await
        .expect("the condition is met before the timeout");
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

/// Claims a key, and returns the ticket or the decision as text that can be compared.
async fn decide(claims: &Claims, key: Uuid) -> Result<Ticket, String> {
    match claims.claim(request(key)).await {
        Decision::Acquired(ticket) => Ok(ticket),
        other => Err(format!("{other:?}")),
    }
}

async fn decision_text(claims: &Claims, key: Uuid) -> String {
    match decide(claims, key).await {
        Ok(_) => "acquired".to_owned(),
        Err(text) => text,
    }
}

/// Claims a key repeatedly until the claim succeeds.
async fn acquire(claims: &Claims, key: Uuid) -> Ticket {
    let acquiring = async {
        loop {
            match decide(claims, key).await {
                Ok(ticket) => return ticket,
                Err(_) => tokio::time::sleep(POLL_PERIOD).await,
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, acquiring)
        .await
        .expect("a claim of the key succeeds before the timeout")
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
async fn a_claimed_call_is_unfinished_for_other_routers_until_its_outcome_is_recorded() {
    let server = Server::start().await;
    let (one, two) = (start(&server).await, start(&server).await);
    let key = Uuid::now_v7();
    let ticket = decide(&one, key).await.expect("the first claim succeeds");
    assert_eq!(decision_text(&two, key).await, "Unfinished");
    assert_eq!(one.record(&ticket, answer()).await, Ok(()));
    let offset = server.appends() + 1;
    until(|| two.status().tail == offset).await;
    assert_eq!(decision_text(&two, key).await, finished());
    let restarted = start(&server).await;
    assert_eq!(decision_text(&restarted, key).await, finished());
}

#[tokio::test]
async fn only_one_of_several_concurrent_claims_of_a_key_succeeds() {
    let server = Server::start().await;
    let routers = [start(&server).await, start(&server).await, start(&server).await];
    for _ in 0..20 {
        let key = Uuid::now_v7();
        let [one, two, three] = &routers;
        let decisions = tokio::join!(
            decision_text(one, key),
            decision_text(two, key),
            decision_text(three, key)
        );
        let mut decisions = [decisions.0, decisions.1, decisions.2];
        decisions.sort();
        assert_eq!(decisions, ["Unfinished", "Unfinished", "acquired"]);
    }
}

#[tokio::test]
async fn a_key_reused_with_different_content_is_refused() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    decide(&claims, key).await.expect("the first claim succeeds");
    let other = claims.claim(Request { digest: [2; 32], ..request(key) }).await;
    assert_eq!(format!("{other:?}"), refused(Refusal::KeyReused));
}

#[tokio::test]
async fn a_claim_succeeds_when_the_answer_to_its_append_is_lost() {
    let server = Server::start().await;
    let claims = start(&server).await;
    server.faults(|faults| faults.lose_answers = 1);
    decide(&claims, Uuid::now_v7()).await.expect("the claim succeeds");
}

#[tokio::test]
async fn a_lost_append_is_repeated_within_the_deadline() {
    let server = Server::start().await;
    let claims = start(&server).await;
    server.faults(|faults| faults.lose_appends = 1);
    decide(&claims, Uuid::now_v7()).await.expect("the claim succeeds");
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
    let (decision, ()) = tokio::join!(decision_text(&claims, Uuid::now_v7()), unthrottle);
    assert_eq!(decision, "acquired");
}

#[tokio::test]
async fn unresponsive_connections_are_replaced_within_the_deadline() {
    let server = Server::start().await;
    let claims = start(&server).await;
    server.stall_open_connections();
    decide(&claims, Uuid::now_v7()).await.expect("the claim succeeds");
}

#[tokio::test]
async fn claims_are_refused_while_the_log_is_down_and_accepted_afterwards() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.down = true);
    assert_eq!(decision_text(&claims, key).await, log_down());
    until(|| !claims.is_healthy()).await;
    let appends = server.refusals();
    assert_eq!(decision_text(&claims, key).await, log_down());
    assert_eq!(server.refusals(), appends);
    server.faults(|faults| faults.down = false);
    until(|| claims.is_healthy()).await;
    decide(&claims, key).await.expect("the claim succeeds");
    assert_eq!(server.appends(), 1);
}

#[tokio::test]
async fn a_claim_that_is_not_read_back_in_time_is_released() {
    let server = Server::start().await;
    let claims = start_with(&server, HOUR, Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.hide_from = Some(1));
    assert_eq!(decision_text(&claims, key).await, log_down());
    until(|| server.bodies().concat().contains(r#"{"r":"#)).await;
    server.faults(|faults| faults.hide_from = None);
    let other = start(&server).await;
    decide(&other, key).await.expect("the key can be claimed");
}

#[tokio::test]
async fn a_claim_that_is_appended_after_its_release_is_void() {
    let server = Server::start().await;
    let claims = start_with(&server, HOUR, Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.hold_appends = 1);
    server.faults(|faults| faults.hide_from = Some(1));
    assert_eq!(decision_text(&claims, key).await, log_down());
    until(|| server.held() == 1 && server.bodies().concat().contains(r#"{"r":"#)).await;
    server.apply_held_appends();
    server.faults(|faults| faults.hide_from = None);
    let other = start(&server).await;
    decide(&other, key).await.expect("the key can be claimed");
}

#[tokio::test]
async fn a_claim_whose_caller_stops_waiting_is_released() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    server.faults(|faults| faults.hide_from = Some(1));
    tokio::select! {
        _ = claims.claim(request(key)) => panic!("a claim was decided without being read back"),
        () = until(|| server.appends() == 1) => (),
    }
    server.faults(|faults| faults.hide_from = None);
    acquire(&claims, key).await;
}

#[tokio::test]
async fn a_released_key_can_be_claimed_again() {
    let server = Server::start().await;
    let (one, two) = (start(&server).await, start(&server).await);
    let key = Uuid::now_v7();
    let ticket = decide(&one, key).await.expect("the first claim succeeds");
    one.release(ticket).await;
    acquire(&two, key).await;
}

#[tokio::test]
async fn an_outcome_is_recorded_once_the_log_is_up_again() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let key = Uuid::now_v7();
    let ticket = decide(&claims, key).await.expect("the first claim succeeds");
    server.faults(|faults| faults.down = true);
    let written = claims.record(&ticket, answer()).await;
    let retry_after = Duration::from_secs(1);
    assert_eq!(written, Err(plat::Error::Unavailable { retry_after }));
    assert_eq!(decision_text(&claims, key).await, "Unfinished");
    server.faults(|faults| faults.down = false);
    until(|| server.appends() == 2).await;
    let restarted = start(&server).await;
    assert_eq!(decision_text(&restarted, key).await, finished());
}

#[tokio::test]
async fn a_restarted_router_reads_the_window_before_it_accepts_claims() {
    let server = Server::start().await;
    let first = start(&server).await;
    let key = Uuid::now_v7();
    decide(&first, key).await.expect("the first claim succeeds");
    for _ in 0..1_000 {
        server.append("[]");
    }
    server.append("of an unknown form");
    let restarted = start_with(&server, HOUR, Duration::from_secs(5));
    let not_ready = refused(Refusal::NotReady { retry_after: Duration::from_secs(1) });
    assert_eq!(decision_text(&restarted, Uuid::now_v7()).await, not_ready);
    assert!(!restarted.is_healthy());
    until(|| restarted.is_healthy()).await;
    assert_eq!(restarted.status().tail, 1_003);
    assert_eq!(decision_text(&restarted, key).await, "Unfinished");
}

#[tokio::test]
async fn keys_that_expired_records_may_concern_are_refused() {
    let server = Server::start().await;
    let claims = start_with(&server, Duration::from_secs(4), Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    acquire(&claims, Uuid::now_v7()).await;
    let old = Uuid::now_v7();
    server.retain_from(10);
    until(|| claims.status().tail == 10 && claims.is_healthy()).await;
    assert_eq!(decision_text(&claims, old).await, refused(Refusal::KeyTooOld));
    acquire_new_key(&claims).await;
}

#[tokio::test]
async fn keys_that_records_lost_by_the_log_may_concern_are_refused() {
    let server = Server::start().await;
    let claims = start_with(&server, Duration::from_secs(4), Duration::from_secs(1));
    until(|| claims.is_healthy()).await;
    acquire(&claims, Uuid::now_v7()).await;
    let old = Uuid::now_v7();
    server.restart_empty();
    until(|| claims.status().tail == 1 && claims.is_healthy()).await;
    assert_eq!(decision_text(&claims, old).await, refused(Refusal::KeyTooOld));
    acquire_new_key(&claims).await;
}

/// Claims new keys until one claim succeeds.
async fn acquire_new_key(claims: &Claims) {
    let acquiring = async {
        while decide(claims, Uuid::now_v7()).await.is_err() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, acquiring)
        .await
        .expect("a claim of a new key succeeds before the timeout");
}

#[tokio::test]
async fn concurrent_claims_share_an_append() {
    let server = Server::start().await;
    let claims = Arc::new(start(&server).await);
    let mut callers = JoinSet::new();
    for _ in 0..100 {
        let claims = claims.clone();
        callers.spawn(async move { decision_text(&claims, Uuid::now_v7()).await });
    }
    let decisions = callers.join_all().await;
    assert_eq!(decisions, vec!["acquired"; 100]);
    assert!(server.appends() < 50, "{} appends", server.appends());
}

#[tokio::test]
async fn a_shutdown_appends_queued_entries() {
    let server = Server::start().await;
    let claims = start(&server).await;
    let ticket = decide(&claims, Uuid::now_v7()).await.expect("the first claim succeeds");
    claims.release(ticket).await;
    claims.shutdown().await;
    assert_eq!(server.appends(), 2);
}
