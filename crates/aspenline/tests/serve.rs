//! The `serve` command, with a real router process.

mod common;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use common::aspenline;
use common::command_result;
use common::directory;
use common::run;
use common::text;
use serde_json::Value;
use serde_json::json;

/// Writes keys for a router and settings of `r1` that use them, and returns the path of the settings.
fn settings(directory_name: &str, key_owner: &str) -> PathBuf {
    let path = directory(directory_name);
    let path_text = text(&path);
    assert_eq!(run(&["keys", "authority", "--directory", path_text]).code, Some(0));
    assert_eq!(run(&["keys", "issue", key_owner, "--directory", path_text]).code, Some(0));
    let (certificate, key) = (format!("{key_owner}.pem"), format!("{key_owner}-key.pem"));
    let settings = json!({
        "name": "r1", "zone": "north-1", "region": "north",
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "platform": { "log": "127.0.0.1:1", "instances": "127.0.0.1:1" },
        "peer_keys": { "certificate": certificate, "key": key, "trust": ["authority.pem"] },
        "operator_token_sha256": conf::digest(common::TOKEN),
        "limits": { "drain_ms": 1 },
    });
    let file = path.join("settings.json");
    fs::write(&file, settings.to_string()).expect("the settings can be written");
    file
}

#[test]
fn a_router_with_keys_from_files_answers_operators_and_ends_on_a_signal() {
    let file = settings("served-router", "r1");
    let mut command = aspenline();
    command.args(["serve", "--settings", text(&file)]).stdin(Stdio::null());
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("started");
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().expect("standard output is piped"));
    output.read_line(&mut line).expect("a line arrives");
    let ready: Value = serde_json::from_str(&line).unwrap_or_default();
    let address = ready["ready"].as_str().unwrap_or("127.0.0.1:1");

    let status = run(&["status", "--router", address, "--json"]);
    let shown: Value = serde_json::from_str(&status.output).unwrap_or_default();
    let terminated = Command::new("kill").arg(child.id().to_string()).status();
    let ended = command_result(&child.wait_with_output().expect("the router ends"));
    assert!(terminated.expect("a signal is sent").success());
    assert_eq!((&shown["router"], &shown["version"]), (&json!("r1"), &json!(0)));
    assert_eq!(ended.code, Some(0), "{}", ended.error);
    assert!(ended.error.contains(" INFO node: "), "{}", ended.error);
}

#[test]
fn a_router_does_not_start_with_the_keys_of_another_router() {
    let file = settings("keys-of-another", "r2");
    let result = run(&["serve", "--settings", text(&file)]);
    assert_eq!((result.code, result.output.as_str()), (Some(2), ""));
    assert!(result.error.contains("peer_keys: "), "{}", result.error);
}
