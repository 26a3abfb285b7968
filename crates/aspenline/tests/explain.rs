//! The `explain` command, which reads the log lines of routers.

mod common;

use std::fs;

use common::directory;
use common::run;
use common::run_with_input;
use common::text;

/// Lines as a router logs them: a request that loses its runner, another request, and the state learnt before.
const LINES: &str = r#"
{"event":"configuration_adopted","at_ms":60100,"version":7}
{"event":"runner","at_ms":60200,"subject":"i-1","outcome":"ready"}
{"event":"runner","at_ms":60300,"subject":"i-9","outcome":"ready"}
{"event":"load","at_ms":60900,"subject":"engines","outcome":"waiting 3"}
{"event":"sent","at_ms":61000,"request":"r-1","route":"r-a","workspace":"w","subject":"i-1","version":7,"age_ms":40,"outcome":"shared parts from 10.0.0.1:80"}
{"event":"sent","at_ms":61001,"request":"r-2","route":"r-a","workspace":"w","subject":"i-1","version":7}
{"event":"send_failed","at_ms":61040,"request":"r-2","route":"r-a","workspace":"w","subject":"i-1","outcome":"Broken"}
{"event":"configuration_adopted","at_ms":61045,"version":8}
{"event":"send_failed","at_ms":61050,"request":"r-1","route":"r-a","workspace":"w","subject":"i-1","outcome":"Broken"}
{"event":"failed","at_ms":61051,"request":"r-1","route":"r-a","workspace":"w","took_ms":52,"sends":1,"outcome":"lost"}
"#;

#[test]
fn a_failed_request_is_explained_in_order_with_its_first_cause_and_the_earlier_state() {
    let result = run_with_input(&["explain", "r-1"], LINES);
    assert_eq!((result.code, result.error.as_str()), (Some(0), ""));
    let expected = "\
request r-1, route r-a, workspace w
     61000 ms  -  sent: i-1, shared parts from 10.0.0.1:80, version 7, age in ms 40
     61050 ms  -  send_failed: i-1, Broken
     61051 ms  -  failed: lost, took ms 52, sends 1
first cause: send_failed at -: i-1, Broken
within 1 s 1 other requests failed with i-1 there
what - had last learnt before:
       900 ms ago  configuration_adopted: version 7
       800 ms ago  runner: i-1, ready
       100 ms ago  load: engines, waiting 3
";
    assert_eq!(result.output.replace("standard input", "-"), expected);
}

#[test]
fn a_refusal_for_a_quarantined_cause_shows_what_is_known_of_the_cause() {
    let lines = r#"
{"event":"attempt_broken","at_ms":60000,"request":"r-6","subject":"i-1","outcome":"no data, shared parts aa dd"}
{"event":"cause_quarantined","at_ms":60500,"subject":"part dd","outcome":"3 crashes since its last answer"}
{"event":"refused","at_ms":61000,"request":"r-7","outcome":"part dd is quarantined"}
"#;
    let result = run_with_input(&["explain", "r-7"], lines);
    assert!(result.output.contains("part dd is quarantined"), "{}", result.output);
    assert!(result.output.contains("3 crashes since its last answer"), "{}", result.output);
    let result = run_with_input(&["explain", "r-6"], lines);
    assert!(result.output.contains("first cause: attempt_broken"), "{}", result.output);
}

#[test]
fn lines_are_assigned_to_processes_by_file_or_by_the_words_before_them() {
    let place = directory("explain");
    let (one, all) = (place.join("router-1.log"), place.join("all.log"));
    fs::write(&one, LINES).expect("written");
    let line = r#"{"event":"refused","at_ms":1,"request":"r-3","outcome":"no runner in time"}"#;
    fs::write(&all, format!("  1.5 router-2 {line}\n  1.6 router-3 {line}\n")).expect("written");
    let result = run(&["explain", "r-1", text(&one), text(&all)]);
    assert!(result.output.contains(&format!("first cause: send_failed at {}", text(&one))));
    let result = run(&["explain", "r-3", text(&one), text(&all)]);
    for router in ["router-2", "router-3"] {
        let cause = format!("first cause: refused at {router}: no runner in time");
        assert!(result.output.contains(&cause), "{}", result.output);
    }
}

#[test]
fn state_from_before_a_restart_of_the_process_is_not_shown() {
    let restarted = r#"{"event":"started","at_ms":60000}
{"event":"configuration_adopted","at_ms":60050,"version":9}
{"event":"sent","at_ms":60060,"request":"r-5","subject":"i-9"}
"#;
    let result = run_with_input(&["explain", "r-5"], &format!("{LINES}{restarted}"));
    let expected = "        10 ms ago  configuration_adopted: version 9\n";
    assert!(
        result.output.ends_with(&format!("had last learnt before:\n{expected}")),
        "{}",
        result.output
    );
}

#[test]
fn a_request_without_a_failure_has_no_cause() {
    let line = r#"{"event":"answered","at_ms":1,"request":"r-4","outcome":"200"}"#;
    let result = run_with_input(&["explain", "r-4"], line);
    assert_eq!(result.code, Some(0));
    assert!(result.output.contains("no failure in the lines of"), "{}", result.output);
}

#[test]
fn unreadable_lines_are_counted_and_an_unknown_request_is_a_failure() {
    let input = format!("{LINES}not a line\n{{\"event\":7}}\n");
    let result = run_with_input(&["explain", "r-1"], &input);
    assert!(result.output.ends_with("2 lines could not be read\n"), "{}", result.output);
    let unknown = run_with_input(&["explain", "r-77"], &input);
    assert_eq!((unknown.code, unknown.output.as_str()), (Some(1), ""));
    assert!(unknown.error.contains("no line tells of request r-77"), "{}", unknown.error);
    assert!(unknown.error.contains("2 lines could not be read"), "{}", unknown.error);
    let missing = run(&["explain", "r-1", "/nowhere/a.log"]);
    assert_eq!(missing.code, Some(2));
}
