//! Operators' commands against fake routers.

mod common;

use std::fs;
use std::net::SocketAddr;

use base::Event;
use base::EventKind;
use base::Name;
use base::RequestId;
use base::Stamp;
use common::CommandResult;
use common::FakeRouter;
use common::directory;
use common::run;
use common::run_with_input;
use common::text;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpSocket;

const CONFIGURATION: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.example.json");
/// The body of a refusal.
const REFUSAL: &str = r#"{"detail":"not now"}"#;

/// Runs a command against one fake router.
fn run_against(router: &FakeRouter, arguments: &[&str]) -> CommandResult {
    let address = router.address.to_string();
    run(&[arguments, &["--router", &address]].concat())
}

/// Reserves a port at which connections are refused: as long as the socket lives, no other process gets it.
fn closed_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = socket.local_addr().expect("the socket has an address");
    (socket, address)
}

fn event(millis: u64, process: &str, kind: EventKind, request: Option<RequestId>) -> Event {
    Event {
        at: Stamp::from_millis(millis),
        process: Name::new(process),
        kind,
        request,
        workspace: request.map(|_| Name::new("birch")),
        runner: None,
        detail: "<some> detail".to_owned(),
    }
}

/// Starts two fake routers with the given events, which list each other and a dead router as members.
fn start_pair(first: &[Event], second: &[Event]) -> [FakeRouter; 2] {
    let routers = [FakeRouter::start(), FakeRouter::start()];
    let addresses = [routers[0].address, routers[1].address];
    for (router, (name, events)) in routers.iter().zip([("r1", first), ("r2", second)]) {
        reply_as_member(router, name, addresses, events);
    }
    routers
}

/// Configures the answers of a router that lists two live members at the addresses and a dead one.
fn reply_as_member(router: &FakeRouter, name: &str, addresses: [SocketAddr; 2], events: &[Event]) {
    let members = json!([
        { "name": "r1", "zone": "a", "state": "alive", "callers": addresses[0] },
        { "name": "r2", "zone": "b", "state": "alive", "callers": addresses[1] },
        { "name": "r3", "zone": "b", "state": "dead", "callers": null },
    ]);
    let status = json!({ "router": name, "members": members });
    router.reply("GET /operator/status", 200, &status.to_string());
    let events = serde_json::to_string(events).expect("events are JSON");
    router.reply("GET /operator/timeline", 200, &events);
}

#[test]
fn status_prints_the_fields_that_it_knows() {
    let router = FakeRouter::start();
    let shard = json!({
        "shard": { "service": "chat", "region": "north", "index": 0 }, "term": 7,
        "runners": [{ "name": "chat-1", "state": "up", "limit": 4, "running": 1, "warm": true }],
        "utilisation": 0.5, "unheard_of": [],
    });
    let status = json!({
        "router": "r1", "zone": "north-1", "version": 3, "log_up": true, "shards": [shard],
        "members": [{ "name": "r1", "zone": "north-1", "state": "alive", "callers": null }],
        "out": ["zone/north-2"], "refused": { "flooded": 2 },
    });
    router.reply("GET /operator/status", 200, &status.to_string());
    let expected = "\
router r1 in zone north-1, configuration 3, log reachable
out: zone/north-2
refused: flooded 2

MEMBER  ZONE     STATE  CALLERS
r1      north-1  alive  -

SHARD         TERM  GATHERING  GAP  LARGEST  BOUND  UTILISATION
chat/north/0  7     -          -    -        -      50.0 %

SHARD         RUNNER  STATE  LIMIT  RUNNING  WARM
chat/north/0  chat-1  up     4      1        true
";
    let result = run_against(&router, &["status"]);
    assert_eq!((result.code, result.output.as_str()), (Some(0), expected));
    let result = run_against(&router, &["status", "--json"]);
    assert_eq!(serde_json::from_str::<Value>(&result.output).expect("JSON"), status);
}

#[test]
fn the_timeline_of_all_live_routers_is_merged_and_filtered() {
    let request = RequestId(0x0197_a200_0000_7000_8000_0000_0000_0001);
    let [first, _second] = start_pair(
        &[
            event(1, "r1", EventKind::Accepted, Some(request)),
            event(3, "r1", EventKind::Sent, Some(request)),
        ],
        &[event(2, "r2", EventKind::Granted, Some(request)), event(4, "r2", EventKind::Log, None)],
    );
    let id = request.to_string();
    let row = |millis, process, kind| {
        format!(
            "00:00:00.00{millis}  {process}       {kind}  {id}  birch      -       <some> detail\n"
        )
    };
    let heading = "TIME          PROCESS  KIND      REQUEST                               WORKSPACE  RUNNER  DETAIL\n";
    let rows = [row(1, "r1", "accepted"), row(2, "r2", "granted "), row(3, "r1", "sent    ")];
    let result = run_against(&first, &["timeline", "--request", "0197A2"]);
    assert_eq!(
        result,
        CommandResult {
            code: Some(0),
            output: format!("{heading}{}", rows.concat()),
            error: String::new()
        }
    );
    let result = run_against(&first, &["timeline", "--json"]);
    let events: Vec<Value> = serde_json::from_str(&result.output).expect("JSON");
    let kinds: Vec<&Value> = events.iter().map(|event| &event["kind"]).collect();
    assert_eq!(kinds, ["accepted", "granted", "sent", "log"]);
    assert_eq!(run_against(&first, &["timeline", "--json", "--since", "60"]).output, "[]\n");
    assert_eq!(run_against(&first, &["timeline", "--json", "--workspace", "beech"]).output, "[]\n");
}

#[test]
fn the_drawing_has_a_lane_for_each_process_and_a_circle_for_each_event() {
    let [first, _second] = start_pair(
        &[event(1, "r1", EventKind::Process, None), event(9, "r1", EventKind::Log, None)],
        &[event(2, "r2", EventKind::Process, None)],
    );
    let path = directory("drawing").join("timeline.svg");
    assert_eq!(run_against(&first, &["timeline", "--svg", text(&path)]).code, Some(0));
    let drawing = fs::read_to_string(path).expect("the drawing is there");
    assert_eq!(drawing.matches("<circle").count(), 3);
    assert!(drawing.contains(">r1</text>") && drawing.contains(">r2</text>"));
    assert!(drawing.contains("00:00:00.009 log &lt;some&gt; detail</title>"));
    assert!(drawing.ends_with("</svg>\n"));
}

#[test]
fn a_live_router_that_does_not_answer_is_reported() {
    let (_reserved, unreachable) = closed_port();
    let first = FakeRouter::start();
    let events = [event(1, "r1", EventKind::Log, None)];
    reply_as_member(&first, "r1", [first.address, unreachable], &events);
    let result = run_against(&first, &["timeline"]);
    assert_eq!(result.code, Some(1));
    assert_eq!(result.output.lines().count(), 2);
    assert!(result.error.contains("\n  r2: "), "{}", result.error);
}

#[test]
fn an_order_is_sent_to_the_next_router_when_one_is_unreachable() {
    let router = FakeRouter::start();
    router.reply("POST /operator/placement", 200, r#"{"counter":5}"#);
    let (_reserved, unreachable) = closed_port();
    let unreachable = unreachable.to_string();
    let result = run_against(&router, &["zone", "out", "north-1", "--router", &unreachable]);
    let output = "zone north-1 is out (order 5)\n".to_owned();
    assert_eq!(result, CommandResult { code: Some(0), output, error: String::new() });
    let result = run_against(&router, &["instance", "back", "r1", "--json"]);
    assert_eq!((result.code, result.output.as_str()), (Some(0), "{\n  \"counter\": 5\n}\n"));
    let orders = [
        json!({ "kind": "zone", "name": "north-1", "out": true }),
        json!({ "kind": "instance", "name": "r1", "out": false }),
    ];
    assert_eq!(router.bodies(), orders.map(|order| order.to_string()));
}

#[test]
fn an_applied_file_is_based_on_the_version_in_its_first_line() {
    let router = FakeRouter::start();
    let text = fs::read_to_string(CONFIGURATION).expect("the example can be read");
    let content = json!({ "version": 4, "text": text });
    router.reply("GET /operator/config", 200, &content.to_string());
    router.reply("POST /operator/config", 200, r#"{"version":6}"#);
    let shown = run_against(&router, &["config", "show"]).output;
    assert_eq!(shown, format!("// based on version 4\n{text}"));
    let older = shown.replacen("version 4", "version 3", 1);
    let address = router.address.to_string();
    for (file, more) in [(&older, None), (&text, None), (&older, Some("--base=2"))] {
        let mut arguments = vec!["apply", "-", "--router", &address];
        arguments.extend(more);
        let result = run_with_input(&arguments, file);
        assert_eq!(
            (result.code, result.output.as_str()),
            (Some(0), "configuration 6 is in force\n")
        );
    }
    let bases: Vec<Value> = router
        .bodies()
        .iter()
        .map(|body| serde_json::from_str::<Value>(body).expect("JSON")["base"].clone())
        .collect();
    assert_eq!(bases, [3, 4, 2]);
}

#[test]
fn the_first_configuration_is_based_on_version_zero() {
    let router = FakeRouter::start();
    router.reply("GET /operator/config", 404, REFUSAL);
    router.reply("POST /operator/config", 200, r#"{"version":1}"#);
    let result = run_against(&router, &["apply", CONFIGURATION, "--json"]);
    assert_eq!((result.code, result.output.as_str()), (Some(0), "{\n  \"version\": 1\n}\n"));
    assert!(router.bodies()[0].starts_with(r#"{"base":0,"#));
    assert_eq!(run_against(&router, &["config", "show"]).code, Some(1));
}

#[test]
fn the_status_of_a_refusal_determines_the_exit_code() {
    for (status, code) in [(409, 3), (422, 2), (503, 4), (500, 1)] {
        let router = FakeRouter::start();
        router.reply("POST /operator/config", status, REFUSAL);
        let result = run_against(&router, &["apply", CONFIGURATION, "--base", "1"]);
        assert_eq!(result.code, Some(code), "{status}");
        assert!(result.error.contains("not now"), "{}", result.error);
    }
}

#[test]
fn an_invalid_configuration_is_sent_to_no_router() {
    let router = FakeRouter::start();
    let address = router.address.to_string();
    let result = run_with_input(&["apply", "-", "--router", &address], "{}");
    assert_eq!(result.code, Some(2));
    assert!(router.bodies().is_empty());
}

#[test]
fn a_command_fails_without_a_reachable_router_or_a_valid_token() {
    let (_reserved, unreachable) = closed_port();
    let result = run(&["status", "--router", &unreachable.to_string()]);
    assert_eq!(result.code, Some(4));
    assert!(
        result.error.starts_with("aspenline: no router answers: 127.0.0.1:"),
        "{}",
        result.error
    );
    let router = FakeRouter::start();
    router.reply("GET /operator/status", 200, "{}");
    assert_eq!(run_against(&router, &["status", "--token", "wrong"]).code, Some(1));
}
