//! Counters, gauges and latency histograms, exported as text.

use std::time::Duration;

use balance::Limit;
use base::Name;
use budget::Figures;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// The upper bound of the first bucket of a histogram, in seconds.
const FIRST_BUCKET: f64 = 0.005;
/// The factor between the upper bounds of two adjacent buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// The number of buckets of a histogram.
const BUCKETS: u16 = 12;

/// The label of a counter per event.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Event {
    event: &'static str,
}

/// The label of a counter per limit that kept refused requests from the engines.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusingLimit {
    limit: String,
}

/// The labels of a counter per version of a service that is rolled out.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct VersionResponse {
    service: String,
    version: String,
    outcome: &'static str,
}

/// The label of a histogram per kind of route.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Kind {
    kind: String,
}

/// The label of a histogram per route.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Route {
    route: String,
}

/// The metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    events: Family<Event, Counter>,
    refusals: Family<RefusingLimit, Counter>,
    versions: Family<VersionResponse, Counter>,
    answers: Family<Kind, Histogram>,
    first_events: Family<Route, Histogram>,
    pauses: Family<Route, Histogram>,
    waiting: Gauge,
    configuration_age: Gauge,
    departures_age: Gauge,
    runners: Gauge,
    routers: Gauge,
    quarantined: Gauge,
    memory: Family<MemoryLabel, Gauge>,
}

/// The label of a gauge per figure of the memory budget.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct MemoryLabel {
    figure: &'static str,
}

/// The values of the gauges at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gauges {
    /// The number of requests that wait for a runner.
    pub waiting: usize,
    /// The maximum age of the configuration in force; `None` if unknown.
    pub configuration_age: Option<Duration>,
    /// The maximum age of what is known about runners that leave; `None` if unknown.
    pub departures_age: Option<Duration>,
    /// The number of known runners.
    pub runners: usize,
    /// The number of other routers that are alive.
    pub routers: usize,
    /// The number of quarantined causes of crashes.
    pub quarantined: usize,
    /// The figures of the memory budget.
    pub memory: Figures,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("aspenline");
        let events = Family::<Event, Counter>::default();
        let refusals = Family::<RefusingLimit, Counter>::default();
        let answers = Family::<Kind, Histogram>::new_with_constructor(histogram);
        let first_events = Family::<Route, Histogram>::new_with_constructor(histogram);
        let pauses = Family::<Route, Histogram>::new_with_constructor(histogram);
        let versions = Family::<VersionResponse, Counter>::default();
        let (waiting, configuration_age, departures_age) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        let (runners, routers, quarantined) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        registry.register("events", "Events by name, as in the log", events.clone());
        let help = "Refused requests by what kept them from the engines, as in the log";
        registry.register("refusals", help, refusals.clone());
        let help = "Responses by version during rollouts";
        registry.register("rollout_responses", help, versions.clone());
        registry.register("answer_seconds", "Time to the head of an answer", answers.clone());
        let help = "Time from the arrival of a request to the first event of its stream";
        registry.register("first_event_seconds", help, first_events.clone());
        let help = "Longest time between two events of a complete stream";
        registry.register("longest_pause_seconds", help, pauses.clone());
        registry.register("waiting_requests", "Requests that wait for a runner", waiting.clone());
        let age = "Age of the configuration in milliseconds, -1 if unknown";
        registry.register("configuration_age_ms", age, configuration_age.clone());
        let age = "Age of what is known about leaving runners in milliseconds, -1 if unknown";
        registry.register("departures_age_ms", age, departures_age.clone());
        registry.register("known_runners", "Runners that are known", runners.clone());
        registry.register("live_routers", "Other routers that are alive", routers.clone());
        let help = "Causes of runner crashes that are quarantined";
        registry.register("quarantined_causes", help, quarantined.clone());
        let memory = Family::<MemoryLabel, Gauge>::default();
        let help = "Memory budget: bytes held, peak and total; evicted, refused and closed since the start";
        registry.register("memory_budget", help, memory.clone());
        Self {
            registry,
            events,
            refusals,
            versions,
            answers,
            first_events,
            pauses,
            waiting,
            configuration_age,
            departures_age,
            runners,
            routers,
            quarantined,
            memory,
        }
    }
}

impl Metrics {
    /// Counts an event.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&Event { event }).inc();
    }

    /// Counts a refused request by what kept it from the engines; `None` if it was no limit.
    pub fn count_refusal(&self, limit: Option<Limit>) {
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        self.refusals.get_or_create(&RefusingLimit { limit }).inc();
    }

    /// Counts a response of a runner of a version during a rollout.
    pub fn count_response(&self, service: &Name, version: Option<&Name>, is_bad: bool) {
        let response = VersionResponse {
            service: service.to_string(),
            version: version.map(ToString::to_string).unwrap_or_default(),
            outcome: if is_bad { "bad" } else { "good" },
        };
        self.versions.get_or_create(&response).inc();
    }

    /// Records the time to the head of an answer.
    pub fn record_answer(&self, kind: balance::Kind, took: Duration) {
        let kind = Kind { kind: kind.to_string() };
        self.answers.get_or_create(&kind).observe(took.as_secs_f64());
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, route: &Name, took: Duration) {
        let route = Route { route: route.to_string() };
        self.first_events.get_or_create(&route).observe(took.as_secs_f64());
    }

    /// Records the longest time between two events of a complete stream.
    pub fn record_pause(&self, route: &Name, pause: Duration) {
        let route = Route { route: route.to_string() };
        self.pauses.get_or_create(&route).observe(pause.as_secs_f64());
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn text(&self, gauges: Gauges) -> String {
        self.configuration_age.set(age_ms(gauges.configuration_age));
        self.departures_age.set(age_ms(gauges.departures_age));
        self.waiting.set(to_i64(gauges.waiting));
        self.runners.set(to_i64(gauges.runners));
        self.routers.set(to_i64(gauges.routers));
        self.quarantined.set(to_i64(gauges.quarantined));
        let Figures { held, total, peak, evicted, refused, closed } = gauges.memory;
        for (figure, value) in [
            ("held_bytes", to_i64(held)),
            ("peak_bytes", to_i64(peak)),
            ("total_bytes", to_i64(total)),
            ("evicted", to_i64(evicted)),
            ("refused", to_i64(refused)),
            ("closed", to_i64(closed)),
        ] {
            self.memory.get_or_create(&MemoryLabel { figure }).set(value);
        }
        let mut output = String::new();
        if let Err(error) = text::encode(&mut output, &self.registry) {
            log::error!("failed to encode the metrics: {error}");
        }
        output
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS))
}

fn to_i64<T: TryInto<i64>>(value: T) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}

/// Returns an age in milliseconds, or -1 if it is unknown.
fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| to_i64(age.as_millis()))
}
