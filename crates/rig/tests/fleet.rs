//! Tests of the platform, runners, links and loads around the routers of a fleet.

use base::Class;
use rig::Call;
use rig::Caller;
use rig::Error;
use rig::Failure;
use rig::Fleet;
use rig::RunnerPlan;
use rig::ServicePlan;
use rig::WorkspacePlan;
use serde_json::Value;
use serde_json::json;

const FAST: [&str; 4] = ["--token-interval-ms", "1", "--first-token-ms", "1"];

fn builder() -> rig::Builder {
    let fast = RunnerPlan::new().args(&FAST).limits(4, 1);
    Fleet::builder()
        .zone("derby", "midlands")
        .zone("matlock", "midlands")
        .workspace(WorkspacePlan::new("crag").weight(3).queue_limit(9))
        .service(ServicePlan::engine("belay", "midlands").runners(3, &fast))
        .service(ServicePlan::plain("orders", "midlands").runners(1, &RunnerPlan::new()))
}

#[tokio::test]
async fn the_published_configuration_is_valid_and_names_all_runners_in_their_zones() {
    let mut fleet = builder().start().await.expect("started");
    let config = fleet.config().clone();
    conf::Configuration::parse(&config.to_string()).expect("valid");
    let runners = config["services"][0]["runners"].as_array().expect("runners");
    let zones: Vec<_> = runners.iter().map(|runner| (&runner["name"], &runner["zone"])).collect();
    let wanted =
        [json!("belay-1"), json!("derby"), json!("belay-2"), json!("matlock"), json!("belay-3")];
    assert_eq!(
        zones,
        [(&wanted[0], &wanted[1]), (&wanted[2], &wanted[3]), (&wanted[4], &wanted[1])]
    );
    let address = fleet.runner("belay-2").expect("a runner").address();
    assert_eq!(runners[1]["address"], address.to_string());
    let mut changed = config.clone();
    changed["workspaces"][0]["weight"] = json!(1);
    let version = fleet.publish_config(&changed).await.expect("published");
    let mut chain = conf::Chain::new();
    for (offset, body) in (1..).zip(fleet.records("config").await.expect("read")) {
        chain.feed(offset, &body);
    }
    let text = &chain.version().expect("a version in force").text;
    assert_eq!(chain.number(), version);
    assert_eq!(serde_json::from_str::<Value>(text).expect("JSON"), changed);
}

#[tokio::test]
async fn links_to_runners_are_cut_and_restored_and_an_unknown_name_is_an_error() {
    let fleet = builder().proxied().start().await.expect("started");
    let runners = &fleet.config()["services"][0]["runners"];
    let address = runners[0]["address"].as_str().and_then(|text| text.parse().ok());
    let caller = Caller::direct(address.expect("an address"));
    let call = Call::completion("belay", "a matte van", 3);
    fleet.cut("run:belay-1").await.expect("cut");
    let cut = caller.call(&call).await;
    assert!(matches!(cut.failure, Some(Failure::Connect | Failure::NoHead)), "{cut:?}");
    fleet.clear_network_faults().await.expect("cleared network faults");
    assert_eq!(caller.call(&call).await.check_complete("a matte van", 3), Ok(()));
    let wrong = fleet.cut("peer:r1:").await.expect_err("there are no routers");
    assert_eq!(*wrong.current_context(), Error::Unknown("peer:r1:".to_owned()));
    let journals = fleet.journals().await.expect("read");
    let counts: Vec<_> =
        journals.iter().map(|(name, journal)| (name.as_str(), journal.requests.len())).collect();
    assert_eq!(counts, [("belay-1", 1), ("belay-2", 0), ("belay-3", 0), ("orders-1", 0)]);
}

#[tokio::test]
async fn a_load_is_bounded_and_its_calls_depend_on_the_seed_alone() {
    let mut fleet = builder().start().await.expect("started");
    let address = fleet.runner("orders-1").expect("a runner").address();
    let load = |seed: u64| {
        let mix = rig::Mix::default()
            .and(3, |_, number| Call::lookup("orders", &format!("orders/{number}")))
            .and(1, |_, number| Call::non_idempotent("orders", &format!("new/{number}"), "x"))
            .and(0, |_, _| Call::lookup("orders", "never"));
        let arrival = rig::Arrival::Closed { callers: 1 };
        let stream = rig::Stream::new("crag", Caller::direct(address), arrival, mix);
        rig::Load::new(seed, std::time::Duration::from_secs(600)).max_calls(20).stream(stream).run()
    };
    let first: Vec<Class> = load(7).await.iter().map(|record| record.class).collect();
    let again = load(7).await;
    let classes: Vec<Class> = again.iter().map(|record| record.class).collect();
    assert_eq!((first.len(), &classes), (20, &first));
    assert!(again.iter().all(|record| record.is_success), "{again:?}");
    let journal = fleet.runner("orders-1").expect("a runner").journal().await.expect("read");
    let executed = journal.requests.iter().filter(|entry| entry.execution.is_some()).count();
    assert_eq!(executed, 2 * first.iter().filter(|class| **class == Class::Once).count());
}

#[tokio::test]
async fn an_open_load_starts_calls_without_waiting_for_earlier_ones() {
    let slow = RunnerPlan::new().args(&["--service-ms", "300"]);
    let plan = ServicePlan::plain("orders", "midlands").runners(1, &slow);
    let mut fleet =
        Fleet::builder().zone("derby", "midlands").service(plan).start().await.expect("started");
    let address = fleet.runner("orders-1").expect("a runner").address();
    let mix = rig::Mix::of(|_, number| Call::lookup("orders", &format!("orders/{number}")));
    let arrival = rig::Arrival::Open { per_second: 1000.0 };
    let stream = rig::Stream::new("crag", Caller::direct(address), arrival, mix);
    let load = rig::Load::new(7, std::time::Duration::from_secs(600)).max_calls(12).stream(stream);
    let records = load.run().await;
    assert!(records.iter().all(|record| record.is_success), "{records:?}");
    assert!(records.is_sorted_by_key(|record| record.started));
    let journal = fleet.runner("orders-1").expect("a runner").journal().await.expect("read");
    let peak = journal.requests.iter().map(|entry| entry.in_flight).max();
    assert_eq!((records.len(), journal.requests.len()), (12, 12));
    assert!(peak > Some(1), "at most one call was in progress at a time");
}
