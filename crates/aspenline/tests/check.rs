//! Checking files without a router.

mod common;

use std::fs;

use common::Done;
use common::run;
use common::run_with_input;
use serde::Deserialize;

const SETTINGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/settings.example.json");
const CONFIGURATION: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.example.json");

/// Replacements in the example of the settings that make it invalid, and the reported faults.
const FAULTS: &str = include_str!("faults.json");

/// One replacement and its fault.
#[derive(Deserialize)]
struct Case {
    from: String,
    to: String,
    fault: String,
}

fn valid(file: &str, kind: &str) -> Done {
    Done { code: Some(0), output: format!("{file}: valid {kind}\n"), error: String::new() }
}

#[test]
fn the_examples_are_told_apart_and_valid() {
    assert_eq!(run(&["check", SETTINGS]), valid(SETTINGS, "settings"));
    assert_eq!(run(&["check", CONFIGURATION]), valid(CONFIGURATION, "configuration"));
}

#[test]
fn a_fault_in_each_group_of_settings_gives_one_readable_error() {
    let example = fs::read_to_string(SETTINGS).expect("the example can be read");
    let cases: Vec<Case> = serde_json::from_str(FAULTS).expect("the faults are JSON");
    assert_eq!(cases.len(), 12);
    for Case { from, to, fault } in cases {
        let text = example.replacen(&from, &to, 1);
        assert_ne!(text, example, "{from}");
        let error = format!("standard input: the settings file has 1 fault\n  {fault}\n");
        for arguments in [&["check", "-"][..], &["serve", "--settings", "-"]] {
            let expected =
                Done { code: Some(2), output: String::new(), error: format!("aspenline: {error}") };
            assert_eq!(run_with_input(arguments, &text), expected);
        }
    }
}

#[test]
fn the_given_kind_counts() {
    let done = run(&["check", CONFIGURATION, "--kind", "settings"]);
    assert_eq!(done.code, Some(2));
    assert!(done.error.contains("the settings file has"), "{}", done.error);
}

#[test]
fn a_file_that_is_no_json_or_is_absent_is_invalid() {
    let done = run_with_input(&["check", "-"], "{ // nothing\n");
    let error = "aspenline: standard input: line 2, column 1: file: found the end of the file, \
                 allowed is JSON (EOF while parsing an object)\n";
    assert_eq!((done.code, done.error.as_str()), (Some(2), error));
    assert_eq!(run(&["check", "absent.json"]).code, Some(2));
}

#[test]
fn keys_that_cannot_be_read_are_reported_with_their_field() {
    let done = run(&["check", SETTINGS, "--keys"]);
    assert_eq!(done.code, Some(2));
    assert!(done.error.contains("peer_keys.certificate: can't read "), "{}", done.error);
}

/// Settings of a router on the platform, as its template is filled in.
fn platform_settings() -> String {
    let template = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/settings.json");
    let mut text = fs::read_to_string(template).expect("the template can be read");
    for (name, value) in [
        ("{{node_name}}", "router-1"),
        ("{{zone}}", "north"),
        ("{{listen.front}}", "10.0.0.1:80"),
        ("{{listen.ready}}", "10.0.0.1:81"),
        ("{{listen.directory}}", "10.0.0.1:82"),
        ("{{ip}}", "10.0.0.1"),
        ("{{internal_ports.0}}", "7000"),
        ("{{platform.address}}", "10.0.0.2:90"),
        ("{{limits.cpu_share|json}}", "0.25"),
        ("{{bounds.grace_s|json}}", "8.0"),
        ("{{bounds.cold_overage|json}}", "1.5"),
        ("{{bounds.cold_slack|json}}", "5"),
        ("{{bounds.retry_budget_ratio|json}}", "0.2"),
        ("{{bounds.budget_extra|json}}", "58"),
        ("{{bounds.budget_window_s|json}}", "10"),
        ("{{#bounds.strict_revoke}}{{bounds.revoke_ms|json}}{{/bounds.strict_revoke}}", "5000"),
        ("{{^bounds.strict_revoke}}null{{/bounds.strict_revoke}}", ""),
    ] {
        assert!(text.contains(name), "{name} is not in the template");
        text = text.replace(name, value);
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

#[test]
fn the_filled_in_template_for_the_platform_is_valid() {
    let text = platform_settings();
    assert_eq!(run_with_input(&["check", "-"], &text), valid("standard input", "platform"));
}

#[test]
fn a_fault_in_settings_for_the_platform_names_field_bound_and_unit() {
    for (from, to, fault) in [
        ("0.25", "0", "share: 0 is not a number of at least 0.001 processors"),
        ("8.0", "-1", "grace_s: -1 is not a number of at least 0.1 seconds"),
        ("\"retry_ratio\": 0.2", "\"retry_ratio\": -2", "at least 0 retries a request"),
        ("\"zone\"", "\"zones\"", "unknown field `zones`"),
        ("10.0.0.2:90", "nowhere", "store: invalid socket address"),
    ] {
        let text = platform_settings().replace(from, to);
        let done = run_with_input(&["check", "-", "--kind", "platform"], &text);
        assert_eq!((done.code, done.output.as_str()), (Some(2), ""));
        assert!(done.error.contains(fault), "{}", done.error);
        assert_eq!(done.error.lines().count(), 1, "{}", done.error);
    }
}
