//! The `check` command, which validates files without a router.

mod common;

use std::fs;

use common::CommandResult;
use common::run;
use common::run_with_input;
use serde::Deserialize;

const SETTINGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/settings.example.json");
const CONFIGURATION: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.example.json");

/// Replacements that make the example settings invalid, and the reported faults.
const FAULTS: &str = include_str!("faults.json");

/// One replacement and its fault.
#[derive(Deserialize)]
struct Case {
    from: String,
    to: String,
    fault: String,
}

fn valid(file: &str, kind: &str) -> CommandResult {
    CommandResult { code: Some(0), output: format!("{file}: valid {kind}\n"), error: String::new() }
}

#[test]
fn the_kinds_of_the_examples_are_detected_and_the_examples_are_valid() {
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
            let expected = CommandResult {
                code: Some(2),
                output: String::new(),
                error: format!("aspenline: {error}"),
            };
            assert_eq!(run_with_input(arguments, &text), expected);
        }
    }
}

#[test]
fn a_given_kind_replaces_detection() {
    let result = run(&["check", CONFIGURATION, "--kind", "settings"]);
    assert_eq!(result.code, Some(2));
    assert!(result.error.contains("the settings file has"), "{}", result.error);
}

#[test]
fn a_file_that_is_not_json_or_does_not_exist_is_invalid() {
    let result = run_with_input(&["check", "-"], "{ // nothing\n");
    let error = "aspenline: standard input: line 2, column 1: file: found the end of the file, \
                 allowed is JSON (EOF while parsing an object)\n";
    assert_eq!((result.code, result.error.as_str()), (Some(2), error));
    assert_eq!(run(&["check", "absent.json"]).code, Some(2));
}

#[test]
fn keys_that_cannot_be_read_are_reported_with_their_field() {
    let result = run(&["check", SETTINGS, "--keys"]);
    assert_eq!(result.code, Some(2));
    assert!(result.error.contains("peer_keys.certificate: can't read "), "{}", result.error);
}

/// Returns the settings of a router on the platform, with all placeholders of the template replaced.
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
        ("{{#bounds.drain_ms}}{{bounds.drain_ms|json}}{{/bounds.drain_ms}}", "2000"),
        ("{{^bounds.drain_ms}}null{{/bounds.drain_ms}}", ""),
        ("{{#limits.memory_mb}}{{limits.memory_mb|json}}{{/limits.memory_mb}}", "88"),
        ("{{^limits.memory_mb}}null{{/limits.memory_mb}}", ""),
        ("{{#limits.max_fds}}{{limits.max_fds|json}}{{/limits.max_fds}}", "3000"),
        ("{{^limits.max_fds}}null{{/limits.max_fds}}", ""),
        ("{{#bounds.expose_share}}{{bounds.expose_share|json}}{{/bounds.expose_share}}", "0.15"),
        ("{{^bounds.expose_share}}null{{/bounds.expose_share}}", ""),
        ("{{#bounds.expose_slack}}{{bounds.expose_slack|json}}{{/bounds.expose_slack}}", "50"),
        ("{{^bounds.expose_slack}}null{{/bounds.expose_slack}}", ""),
        ("{{#bounds.rollback_ms}}{{bounds.rollback_ms|json}}{{/bounds.rollback_ms}}", "6000"),
        ("{{^bounds.rollback_ms}}null{{/bounds.rollback_ms}}", ""),
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
        (
            "\"memory_mb\": 88",
            "\"memory_mb\": 40",
            "memory_mb: 40 is too small, at least 48 MiB: 24",
        ),
        ("0.15", "1.5", "bounds.expose_share: 1.5 is more than 1"),
        ("3000", "100", "max_descriptors: 100 is too small, at least 128 descriptors"),
    ] {
        let text = platform_settings().replace(from, to);
        let result = run_with_input(&["check", "-", "--kind", "platform"], &text);
        assert_eq!((result.code, result.output.as_str()), (Some(2), ""));
        assert!(result.error.contains(fault), "{}", result.error);
        assert_eq!(result.error.lines().count(), 1, "{}", result.error);
    }
}
