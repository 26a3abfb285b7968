//! The plans of zones, workspaces, services and runners of a fleet.

use base::Class;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// The default weight of a workspace.
const DEFAULT_WEIGHT: u32 = 1;
/// The default maximum number of queued requests of a workspace.
const DEFAULT_QUEUE_LIMIT: u32 = 64;
/// The default maximum number of concurrent requests of a warm runner.
const DEFAULT_WARM_LIMIT: u32 = 8;
/// The default maximum number of concurrent requests of a cold runner.
const DEFAULT_COLD_LIMIT: u32 = 2;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZonePlan {
    /// The name.
    pub name: String,
    /// The region.
    pub region: String,
}

/// A workspace; its token is its name followed by `-token`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspacePlan {
    name: String,
    weight: u32,
    queue_limit: u32,
}

impl WorkspacePlan {
    /// Creates a workspace of weight 1.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), weight: DEFAULT_WEIGHT, queue_limit: DEFAULT_QUEUE_LIMIT }
    }

    /// Sets the weight.
    #[must_use]
    pub const fn weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the maximum number of queued requests.
    #[must_use]
    pub const fn queue_limit(mut self, limit: u32) -> Self {
        self.queue_limit = limit;
        self
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn config(&self) -> Value {
        let digest = conf::digest(&token(&self.name));
        json!({
            "name": self.name, "weight": self.weight, "queue_limit": self.queue_limit,
            "tokens_sha256": [digest],
        })
    }
}

/// Returns the token of a workspace.
pub(crate) fn token(workspace: &str) -> String {
    format!("{workspace}-token")
}

/// One runner of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerPlan {
    pub(crate) zone: Option<String>,
    pub(crate) args: Vec<String>,
    checks_fencing: bool,
    warm_limit: u32,
    cold_limit: u32,
}

impl Default for RunnerPlan {
    fn default() -> Self {
        Self::new()
    }
}

impl RunnerPlan {
    /// Creates a runner that checks fencing tokens and is placed in the next zone in turn.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            zone: None,
            args: Vec::new(),
            checks_fencing: true,
            warm_limit: DEFAULT_WARM_LIMIT,
            cold_limit: DEFAULT_COLD_LIMIT,
        }
    }

    /// Sets the zone.
    #[must_use]
    pub fn zone(mut self, zone: &str) -> Self {
        self.zone = Some(zone.to_owned());
        self
    }

    /// Adds command-line arguments of the fake, such as `--cold`.
    #[must_use]
    pub fn args<T: AsRef<str>>(mut self, args: &[T]) -> Self {
        self.args.extend(args.iter().map(|arg| arg.as_ref().to_owned()));
        self
    }

    /// Makes the runner execute all orders, including those with a stale fence.
    #[must_use]
    pub const fn without_fencing(mut self) -> Self {
        self.checks_fencing = false;
        self
    }

    /// Sets the maximum number of concurrent requests of the runner, when warm and when cold.
    #[must_use]
    pub const fn limits(mut self, warm: u32, cold: u32) -> Self {
        self.warm_limit = warm;
        self.cold_limit = cold;
        self
    }

    pub(crate) fn config(&self, name: &str, address: &str, zone: &str) -> Value {
        json!({
            "name": name, "address": address, "zone": zone, "checks_fencing": self.checks_fencing,
            "warm_limit": self.warm_limit, "cold_limit": self.cold_limit,
        })
    }
}

/// A service with its runners, which are named `SERVICE-1`, `SERVICE-2` and so on.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePlan {
    pub(crate) name: String,
    pub(crate) runners: Vec<RunnerPlan>,
    is_engine: bool,
    region: String,
    classes: Vec<Class>,
    fields: Map<String, Value>,
}

impl ServicePlan {
    /// Creates a service of model engines.
    #[must_use]
    pub fn engine(name: &str, region: &str) -> Self {
        Self::new(name, region, true, vec![Class::Interactive, Class::Long])
    }

    /// Creates a plain service.
    #[must_use]
    pub fn plain(name: &str, region: &str) -> Self {
        Self::new(name, region, false, vec![Class::Lookup, Class::Once])
    }

    fn new(name: &str, region: &str, is_engine: bool, classes: Vec<Class>) -> Self {
        Self {
            name: name.to_owned(),
            runners: Vec::new(),
            is_engine,
            region: region.to_owned(),
            classes,
            fields: Map::new(),
        }
    }

    /// Adds a number of equal runners.
    #[must_use]
    pub fn runners(mut self, count: usize, runner: &RunnerPlan) -> Self {
        self.runners.extend(std::iter::repeat_n(runner.clone(), count));
        self
    }

    /// Sets the classes.
    #[must_use]
    pub fn classes(mut self, classes: &[Class]) -> Self {
        self.classes = classes.to_vec();
        self
    }

    /// Sets a further field of the configuration, such as `timeouts`.
    #[must_use]
    pub fn field(mut self, name: &str, value: Value) -> Self {
        self.fields.insert(name.to_owned(), value);
        self
    }

    /// Returns the command-line arguments of the fake for a runner.
    pub(crate) fn args(&self, runner: &RunnerPlan) -> Vec<String> {
        let kind = if self.is_engine { "engine" } else { "service" };
        let checks = self.is_engine && runner.checks_fencing;
        let fencing = checks.then(|| "--check-fencing".to_owned());
        [kind.to_owned()].into_iter().chain(fencing).chain(runner.args.iter().cloned()).collect()
    }

    pub(crate) fn config(&self, runners: &[Value]) -> Value {
        let kind = if self.is_engine { "engine" } else { "plain" };
        let mut config = json!({
            "name": self.name, "kind": kind, "region": self.region, "classes": self.classes,
            "runners": runners,
        });
        for (name, value) in &self.fields {
            config[name] = value.clone();
        }
        config
    }
}
