//! Settings files: defaults, faults with their positions, and parsing of any text without a panic.

use std::net::IpAddr;
use std::net::SocketAddr;

use conf::Fault;
use conf::Settings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETTINGS: &str = include_str!("settings.json");
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
fn missing_optional_fields_have_defaults() {
    let settings = Settings::parse(SETTINGS).expect("the file is valid");
    assert_eq!(settings.threads, 2);
    assert_eq!(settings.mode, conf::settings::Mode::Fleet);
    assert_eq!(settings.log_level, conf::settings::Level::Info);
    assert_eq!(settings.platform.instances_path, "/instances");
    assert_eq!(settings.platform.retention_ms, 3_600_000);
    assert_eq!(settings.limits, conf::settings::Limits::default());
    assert_eq!((settings.advertise, settings.peer_advertise, settings.statsd), (None, None, None));
}

#[test]
fn settings_are_equal_after_encoding_and_parsing() {
    let settings = Settings::parse(SETTINGS).expect("the file is valid");
    let written = serde_json::to_string_pretty(&settings).expect("the settings are encoded");
    assert_eq!(Settings::parse(&written).expect("the file is valid"), settings);
}

#[test]
fn the_nearest_allowed_name_is_suggested_for_an_unknown_field() {
    let text = SETTINGS.replace("\"key\"", "\"keys\"");
    let mut unknown =
        fault(11, 43, "peer_keys.keys", "unknown field `keys`", "`certificate`, `key`, `trust`");
    unknown.nearest = Some("key".to_owned());
    let missing = fault(11, 16, "peer_keys", "no field `key`", "an object that has `key`");
    assert_eq!(faults(&text), [missing, unknown]);
}

#[test]
fn all_faults_are_reported_in_the_order_of_their_positions() {
    let text = SETTINGS
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
fn a_list_in_place_of_an_object_is_a_fault() {
    let object = "{ \"log\": \"127.0.0.1:9000\", \"instances\": \"127.0.0.1:9001\" }";
    let text = SETTINGS.replace(object, "[\"127.0.0.1:9000\", \"127.0.0.1:9001\", \"/\", 1000]");
    assert_eq!(faults(&text), [fault(9, 15, "platform", "a list", "an object")]);
}

#[test]
fn an_unknown_field_with_special_characters_is_reported() {
    let text = SETTINGS.replace("\"zone\":", "\"`a`, expected b~/\": 0, \"zone\":");
    let found: Vec<(usize, usize, String)> =
        faults(&text).into_iter().map(|fault| (fault.line, fault.column, fault.path)).collect();
    assert_eq!(found, [(4, 3, "`a`, expected b~/".to_owned())]);
}

#[test]
fn a_duplicate_field_is_a_fault() {
    let text = SETTINGS.replace("\"zone\":", "\"name\": \"r2\", \"zone\":");
    let expected = fault(4, 3, "name", "a second field of this name", "one field of each name");
    assert_eq!(faults(&text), [expected]);
}

#[test]
fn a_syntax_error_after_comments_has_its_original_position() {
    let text = "// ä\n/* two\nlines */ { \"name\": ä }";
    let expected = fault(3, 20, "name", "'ä'", "JSON (expected value)");
    assert_eq!(faults(text), [expected]);
}

#[test]
fn an_incomplete_file_is_reported_at_its_end() {
    let end = |path: &str| {
        let allowed = "JSON (EOF while parsing an object)";
        fault(1, if path.is_empty() { 3 } else { 15 }, path, "the end of the file", allowed)
    };
    assert_eq!(faults("{ "), [end("")]);
    assert_eq!(faults("{ \"limits\": { "), [end("limits")]);
}

#[test]
fn an_unterminated_string_or_comment_is_reported_at_its_start() {
    let string = "a string that is closed by `\"`";
    let comment = "a comment that is closed by `*/`";
    assert_eq!(faults("{ // \"\n \"na"), [fault(2, 2, "", "'\"'", string)]);
    assert_eq!(faults("{ \"/*\" /* "), [fault(1, 8, "", "'/'", comment)]);
}

#[test]
fn an_unspecified_address_needs_an_advertised_one() {
    let text = SETTINGS.replace("127.0.0.1:8000", "0.0.0.0:8000");
    let allowed = "a concrete address, or one given in `advertise` as well";
    assert_eq!(faults(&text), [fault(6, 13, "listen", "\"0.0.0.0:8000\"", allowed)]);
}

#[test]
fn debug_output_does_not_contain_keys() {
    let settings = Settings::parse(SETTINGS).expect("the file is valid");
    assert!(!format!("{settings:?}").contains("r1-key.pem"));
}

/// Returns a configuration of property tests with a fixed seed.
fn fixed(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed(256))]

    #[test]
    fn any_settings_are_equal_after_encoding_and_parsing(
        name in "[a-zA-Z0-9._-]{1,64}",
        (ip, port) in any::<(IpAddr, u16)>(),
        (threads, level) in (1_usize..=64, 0_usize..5),
        times in proptest::array::uniform3(1_u64..=86_400_000),
    ) {
        let mut settings = Settings::parse(SETTINGS).expect("the file is valid");
        settings.name = base::Name::new(&name);
        settings.advertise = Some(SocketAddr::new(ip, port));
        settings.threads = threads;
        settings.mode = conf::settings::Mode::Baseline;
        settings.log_level = ["error", "warn", "info", "debug", "trace"][level].parse().expect("a level");
        [settings.limits.header_timeout_ms, settings.limits.body_timeout_ms, settings.limits.drain_ms] = times;
        let written = serde_json::to_string(&settings).expect("the settings are encoded");
        prop_assert_eq!(Settings::parse(&written).expect("the file is valid"), settings);
    }

    #[test]
    fn any_text_is_parsed_without_a_panic(text in "\\PC{0,200}") {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn any_bytes_in_a_file_are_parsed_without_a_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..12),
        at in 0..SETTINGS.len(),
        removed in 0_usize..40,
    ) {
        let mut file = SETTINGS.as_bytes().to_vec();
        let end = (at + removed).min(file.len());
        file.splice(at..end, bytes);
        let _ = Settings::parse(&String::from_utf8_lossy(&file));
    }
}
