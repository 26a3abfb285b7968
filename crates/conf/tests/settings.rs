//! Settings files: defaults, faults with their positions, and what never fails.

use std::net::IpAddr;
use std::net::SocketAddr;

use conf::Fault;
use conf::Settings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WHOLE: &str = include_str!("settings.json");
const EXAMPLE: &str = include_str!("../../../docs/settings.example.json");

fn faults(text: &str) -> Vec<Fault> {
    let error = Settings::parse(text).expect_err("the settings are invalid");
    error.current_context().faults().to_vec()
}

fn fault(line: usize, column: usize, path: &str, found: &str, allowed: &str) -> Fault {
    let [path, found, allowed] = [path, found, allowed].map(str::to_owned);
    Fault { line, column, path, found, allowed, nearest: None }
}

#[test]
fn the_example_is_valid() {
    Settings::parse(EXAMPLE).expect("the example parses");
}

#[test]
fn absent_fields_take_their_defaults() {
    let settings = Settings::parse(WHOLE).expect("the file is valid");
    assert_eq!(settings.threads, 2);
    assert_eq!(settings.mode, conf::settings::Mode::Fleet);
    assert_eq!(settings.log_level, conf::settings::Level::Info);
    assert_eq!(settings.platform.instances_path, "/instances");
    assert_eq!(settings.platform.retention_ms, 3_600_000);
    assert_eq!(settings.limits, conf::settings::Limits::default());
    assert_eq!((settings.advertise, settings.peer_advertise, settings.statsd), (None, None, None));
}

#[test]
fn written_settings_are_read_back() {
    let settings = Settings::parse(WHOLE).expect("the file is valid");
    let written = serde_json::to_string_pretty(&settings).expect("writable");
    assert_eq!(Settings::parse(&written).expect("the file is valid"), settings);
}

#[test]
fn an_unknown_field_names_the_nearest_allowed_one() {
    let text = WHOLE.replace("\"key\"", "\"keys\"");
    let mut unknown =
        fault(11, 43, "peer_keys.keys", "unknown field `keys`", "`certificate`, `key`, `trust`");
    unknown.nearest = Some("key".to_owned());
    let missing = fault(11, 16, "peer_keys", "no field `key`", "an object that has `key`");
    assert_eq!(faults(&text), [missing, unknown]);
}

#[test]
fn all_faults_are_reported_in_the_order_of_the_file() {
    let text = WHOLE
        .replace("\"r1\"", "\"r 1\"")
        .replace("\"127.0.0.1:7000\"", "7000")
        .replace("{ \"log\"", "/* several\nlines ä */ { \"log\"")
        .replace("\"127.0.0.1:9001\"", "\"localhost\"");
    let address = "an address with port such as \"127.0.0.1:8000\"";
    let name = "a name of 1 to 64 letters, digits, `-`, `_` or `.`";
    let expected = [
        fault(3, 11, "name", "\"r 1\"", name),
        fault(7, 18, "peer_listen", "7000", address),
        fault(10, 52, "platform.instances", "\"localhost\"", address),
    ];
    assert_eq!(faults(&text), expected);
}

#[test]
fn a_list_does_not_stand_for_an_object() {
    let object = "{ \"log\": \"127.0.0.1:9000\", \"instances\": \"127.0.0.1:9001\" }";
    let text = WHOLE.replace(object, "[\"127.0.0.1:9000\", \"127.0.0.1:9001\", \"/\", 1000]");
    assert_eq!(faults(&text), [fault(9, 15, "platform", "a list", "an object")]);
}

#[test]
fn an_unknown_field_of_any_spelling_is_found() {
    let text = WHOLE.replace("\"zone\":", "\"`a`, expected b~/\": 0, \"zone\":");
    let found: Vec<(usize, usize, String)> =
        faults(&text).into_iter().map(|fault| (fault.line, fault.column, fault.path)).collect();
    assert_eq!(found, [(4, 3, "`a`, expected b~/".to_owned())]);
}

#[test]
fn a_field_given_twice_is_a_fault() {
    let text = WHOLE.replace("\"zone\":", "\"name\": \"r2\", \"zone\":");
    let expected = fault(4, 3, "name", "a second field of this name", "one field of each name");
    assert_eq!(faults(&text), [expected]);
}

#[test]
fn a_syntax_error_keeps_its_position_behind_comments() {
    let text = "// ä\n/* two\nlines */ { \"name\": ä }";
    let expected = fault(3, 20, "name", "'ä'", "JSON (expected value)");
    assert_eq!(faults(text), [expected]);
}

#[test]
fn a_file_that_ends_too_early_is_reported_at_its_end() {
    let end = |path: &str| {
        let allowed = "JSON (EOF while parsing an object)";
        fault(1, if path.is_empty() { 3 } else { 15 }, path, "the end of the file", allowed)
    };
    assert_eq!(faults("{ "), [end("")]);
    assert_eq!(faults("{ \"limits\": { "), [end("limits")]);
}

#[test]
fn what_has_no_end_is_reported_where_it_begins() {
    let string = "a string that is closed by `\"`";
    let comment = "a comment that is closed by `*/`";
    assert_eq!(faults("{ // \"\n \"na"), [fault(2, 2, "", "'\"'", string)]);
    assert_eq!(faults("{ \"/*\" /* "), [fault(1, 8, "", "'/'", comment)]);
}

#[test]
fn an_unspecified_address_must_be_advertised() {
    let text = WHOLE.replace("127.0.0.1:8000", "0.0.0.0:8000");
    let allowed = "a concrete address, or one given in `advertise` as well";
    assert_eq!(faults(&text), [fault(6, 13, "listen", "\"0.0.0.0:8000\"", allowed)]);
}

#[test]
fn keys_are_not_shown_for_debugging() {
    let settings = Settings::parse(WHOLE).expect("the file is valid");
    assert!(!format!("{settings:?}").contains("r1-key.pem"));
}

/// Returns a deterministic configuration of property tests.
fn fixed(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed(256))]

    #[test]
    fn any_settings_are_read_back(
        name in "[a-zA-Z0-9._-]{1,64}",
        (ip, port) in any::<(IpAddr, u16)>(),
        (threads, level) in (1_usize..=64, 0_usize..5),
        times in proptest::array::uniform3(1_u64..=86_400_000),
    ) {
        let mut settings = Settings::parse(WHOLE).expect("the file is valid");
        settings.name = base::Name::new(&name);
        settings.advertise = Some(SocketAddr::new(ip, port));
        settings.threads = threads;
        settings.mode = conf::settings::Mode::Baseline;
        settings.log_level = ["error", "warn", "info", "debug", "trace"][level].parse().expect("a level");
        [settings.limits.header_timeout_ms, settings.limits.body_timeout_ms, settings.limits.drain_ms] = times;
        let written = serde_json::to_string(&settings).expect("writable");
        prop_assert_eq!(Settings::parse(&written).expect("the file is valid"), settings);
    }

    #[test]
    fn any_text_is_parsed_without_a_panic(text in "\\PC{0,200}") {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn any_bytes_in_a_file_are_parsed_without_a_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..12),
        at in 0..WHOLE.len(),
        removed in 0_usize..40,
    ) {
        let mut file = WHOLE.as_bytes().to_vec();
        let end = (at + removed).min(file.len());
        file.splice(at..end, bytes);
        let _ = Settings::parse(&String::from_utf8_lossy(&file));
    }
}
