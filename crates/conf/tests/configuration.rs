//! Configuration files: checks across fields, lookup by token, and parsing of any bytes without a panic.

use conf::Configuration;
use conf::Fault;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const EXAMPLE: &str = include_str!("../../../docs/configuration.example.json");
const BIRCH_DIGEST: &str = "28744c37a4c95c708aeb43991be33c2c0e420606d45e5a3b3d623c42e1274353";
const BEECH_DIGEST: &str = "0ada76a3da47bdd2721cfee3590709e0fe486b07cb830625a9c5bc132b726352";

/// Replaces one text in the example, and returns the path and the allowed value of each fault.
fn faults(from: &str, to: &str) -> Vec<(String, String)> {
    let text = EXAMPLE.replacen(from, to, 1);
    assert_ne!(text, EXAMPLE);
    let error = Configuration::parse(&text).expect_err("the configuration is invalid");
    let pair = |fault: &Fault| (fault.path.clone(), fault.allowed.clone());
    error.current_context().faults().iter().map(pair).collect()
}

fn pair(path: &str, allowed: &str) -> (String, String) {
    (path.to_owned(), allowed.to_owned())
}

#[test]
fn the_example_is_valid_and_equal_after_encoding_and_parsing() {
    let example = Configuration::parse(EXAMPLE).expect("the example parses");
    let written = serde_json::to_string(&example).expect("the configuration is encoded");
    assert_eq!(Configuration::parse(&written).expect("the configuration is valid"), example);
}

#[test]
fn a_token_digest_identifies_its_workspace() {
    let example = Configuration::parse(EXAMPLE).expect("the example parses");
    let name = |token| {
        let workspace = example.workspace_of(&conf::digest(token));
        workspace.map(|workspace| workspace.name.as_str().to_owned())
    };
    assert_eq!(name("birch-secret").as_deref(), Some("birch"));
    assert_eq!(name("beech-secret").as_deref(), Some("beech"));
    assert_eq!(name("secret"), None);
}

#[test]
fn names_are_unique() {
    let unique = |kind| format!("a name that no other {kind} has");
    let [workspace, service, zone, runner] = ["workspace", "service", "zone", "runner"].map(unique);
    assert_eq!(faults("\"beech\"", "\"birch\""), [pair("workspaces[1].name", &workspace)]);
    assert_eq!(faults("\"billing\"", "\"chat\""), [pair("services[1].name", &service)]);
    let zones = "{ \"name\": \"north-2\", \"region\": \"north\" }";
    let repeated = format!("{zones}, {zones}");
    assert_eq!(faults(zones, &repeated), [pair("zones[2].name", &zone)]);
    assert_eq!(
        faults("\"billing-1\"", "\"chat-2\""),
        [pair("services[1].runners[0].name", &runner)]
    );
}

#[test]
fn two_runners_do_not_share_an_address() {
    let expected = pair("services[0].runners[1].address", "an address that no other runner has");
    assert_eq!(faults("192.0.2.22:9100", "192.0.2.21:9100"), [expected]);
}

#[test]
fn a_token_belongs_to_one_workspace() {
    let expected = pair("workspaces[1].tokens_sha256[0]", "a digest that is used nowhere else");
    assert_eq!(faults(BEECH_DIGEST, BIRCH_DIGEST), [expected]);
}

#[test]
fn zones_and_regions_are_known() {
    assert_eq!(
        faults("\"zone\": \"north-2\"", "\"zone\": \"north-3\""),
        [pair("services[0].runners[1].zone", "the name of a zone")]
    );
    let text = EXAMPLE.replacen("\"region\": \"north\"", "\"region\": \"nroth\"", 1);
    let error = Configuration::parse(&text).expect_err("the region is unknown");
    let fault = &error.current_context().faults()[0];
    assert_eq!(
        (fault.path.as_str(), fault.allowed.as_str()),
        ("services[0].region", "the region of a zone")
    );
    assert_eq!(fault.nearest.as_deref(), Some("north"));
}

#[test]
fn the_zone_of_a_runner_is_in_the_region_of_its_service() {
    let zone = "{ \"name\": \"north-2\", \"region\": \"north\" }";
    let allowed = "a zone of region `north`, that of the service";
    assert_eq!(
        faults(zone, "{ \"name\": \"north-2\", \"region\": \"south\" }"),
        [pair("services[0].runners[1].zone", allowed)]
    );
}

#[test]
fn the_kind_of_a_service_limits_its_classes() {
    assert_eq!(
        faults("\"long\"]", "\"once\", \"lookup\"]"),
        [
            pair("services[0].classes[1]", "`interactive` or `long` for an engine"),
            pair("services[0].classes[2]", "`interactive` or `long` for an engine"),
        ]
    );
    assert_eq!(
        faults("\"once\"]", "\"long\", \"lookup\"]"),
        [
            pair("services[1].classes[1]", "`lookup` or `once` for a plain service"),
            pair("services[1].classes[2]", "each class once"),
        ]
    );
}

#[test]
fn models_have_a_version_and_only_engines_load_them() {
    let chat = "\"shard_runners\": 5";
    let with = |text: &str| format!("{chat}, {text}");
    let text = EXAMPLE.replacen(chat, &with("\"model\": \"oak@2\", \"adapters\": [\"moss\"]"), 1);
    let service =
        Configuration::parse(&text).expect("the configuration is valid").services.swap_remove(0);
    assert_eq!((service.model.as_deref(), service.adapters), (Some("oak@2"), vec!["moss".into()]));
    assert_eq!(
        faults(chat, &with("\"model\": \"oak\"")),
        [pair("services[0].model", "a model and its version as `name@version`, or null")]
    );
    assert_eq!(
        faults(chat, &with("\"adapters\": [\"moss\", \"moss\"]")),
        [pair("services[0].adapters[1]", "each adapter once")]
    );
    let plain = "\"classes\": [\"lookup\", \"once\"]";
    assert_eq!(
        faults(plain, &format!("{plain}, \"model\": \"oak@2\", \"adapters\": [\"moss\"]")),
        [
            pair("services[1].model", "none for a plain service"),
            pair("services[1].adapters", "none for a plain service"),
        ]
    );
}

#[test]
fn limits_are_neither_zero_nor_too_large() {
    assert_eq!(
        faults("\"queue_limit\": 64", "\"queue_limit\": 0"),
        [pair("workspaces[0].queue_limit", "a whole number from 1 to 1000000")]
    );
    assert_eq!(
        faults("\"weight\": 3", "\"weight\": 1001"),
        [pair("workspaces[0].weight", "a whole number from 1 to 1000")]
    );
    assert_eq!(
        faults("\"cold_limit\": 4", "\"cold_limit\": 17"),
        [pair("services[0].runners[0].cold_limit", "a whole number from 1 to 16, the warm limit")]
    );
}

#[test]
fn empty_lists_and_shape_faults_are_reported_together() {
    let text = EXAMPLE
        .replacen(&format!("[\"{BIRCH_DIGEST}\"]"), "[]", 1)
        .replacen("\"engine\"", "\"engin\"", 1)
        .replacen("\"classes\": [\"lookup\", \"once\"]", "\"classes\": [\"lookup\", \"onec\"]", 1);
    let error = Configuration::parse(&text).expect_err("the configuration is invalid");
    let faults: Vec<String> =
        error.current_context().faults().iter().map(ToString::to_string).collect();
    let expected = [
        "line 9, column 24: workspaces[0].tokens_sha256: found an empty list, allowed is a list \
         with at least one entry",
        "line 21, column 15: services[0].kind: found \"engin\", allowed is `engine`, `plain`; did \
         you mean `engine`?",
        "line 55, column 29: services[1].classes[1]: found \"onec\", allowed is `interactive`, \
         `long`, `lookup`, `once`; did you mean `once`?",
    ];
    assert_eq!(faults, expected);
}

/// Returns a configuration of property tests with a fixed seed.
fn fixed(cases: u32) -> ProptestConfig {
    let seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases, rng_seed: seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed(128))]

    #[test]
    fn any_change_of_bytes_is_parsed_without_a_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..12),
        at in 0..EXAMPLE.len(),
        removed in 0_usize..60,
    ) {
        let mut file = EXAMPLE.as_bytes().to_vec();
        let end = (at + removed).min(file.len());
        file.splice(at..end, bytes);
        let _ = Configuration::parse(&String::from_utf8_lossy(&file));
    }
}
