//! Settings of one router process.

use std::fmt;
use std::net::SocketAddr;

use base::Name;
use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::Error;
use crate::document::Document;
use crate::document::Problem;
use crate::field;

/// A valid value for each field, which replaces a faulty one so that further faults are found.
const PLACEHOLDERS: &str = include_str!("settings.placeholders.json");

/// Settings of one router process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance, unique in the fleet.
    #[serde(deserialize_with = "field::name")]
    pub name: Name,
    /// The availability zone of the instance.
    #[serde(deserialize_with = "field::name")]
    pub zone: Name,
    /// The region of the zone.
    #[serde(deserialize_with = "field::name")]
    pub region: Name,
    /// The address on which callers are accepted.
    #[serde(deserialize_with = "field::address")]
    pub listen: SocketAddr,
    /// The address advertised to callers, if other than `listen`.
    #[serde(default, deserialize_with = "field::optional_address")]
    pub advertise: Option<SocketAddr>,
    /// The address on which other routers are accepted.
    #[serde(deserialize_with = "field::address")]
    pub peer_listen: SocketAddr,
    /// The address advertised to other routers, if other than `peer_listen`.
    #[serde(default, deserialize_with = "field::optional_address")]
    pub peer_advertise: Option<SocketAddr>,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The keys for connections between routers.
    pub peer_keys: PeerKeys,
    /// The digest of the operators' token, as computed by [`crate::digest`].
    #[serde(deserialize_with = "field::digest")]
    pub operator_token_sha256: String,
    /// The number of threads that handle traffic.
    #[serde(default = "default_threads", deserialize_with = "field::integer::<_, 1, 64, _>")]
    pub threads: usize,
    /// The balancing mode.
    #[serde(default)]
    pub mode: Mode,
    /// The least severe level that is logged.
    #[serde(default)]
    pub log_level: Level,
    /// The address to which metrics are sent in the StatsD protocol, if any.
    #[serde(default, deserialize_with = "field::optional_address")]
    pub statsd: Option<SocketAddr>,
    /// The limits for callers.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    #[serde(deserialize_with = "field::address")]
    pub log: SocketAddr,
    /// The service that lists instances.
    #[serde(deserialize_with = "field::address")]
    pub instances: SocketAddr,
    /// The path at which instances are listed.
    #[serde(default = "default_instances_path", deserialize_with = "field::path")]
    pub instances_path: String,
    /// The shortest time for which the log keeps a record, in milliseconds.
    #[serde(
        default = "default_retention_ms",
        deserialize_with = "field::integer::<_, 1000, 31_536_000_000, _>"
    )]
    pub retention_ms: u64,
}

/// The keys for connections between routers, each as PEM text or as the path of a file that contains it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKeys {
    /// The certificate chain of this router.
    #[serde(deserialize_with = "field::text")]
    pub certificate: String,
    /// The private key of this router.
    #[serde(deserialize_with = "field::text")]
    pub key: String,
    /// The authorities whose certificates are accepted.
    #[serde(deserialize_with = "field::texts")]
    pub trust: Vec<String>,
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerKeys").field("trust", &self.trust.len()).finish_non_exhaustive()
    }
}

/// The way in which requests are assigned to runners.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Mode {
    /// The dispatchers of the fleet grant runners to requests.
    #[default]
    Fleet,
    /// Each router selects runners by itself, as a baseline for comparison.
    Baseline,
}

/// The severity of a log line.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// Failures that need an operator.
    Error,
    /// Faults that the fleet handles without an operator.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details of single requests.
    Debug,
    /// All details.
    Trace,
}

/// Limits for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of the head of a request, in bytes.
    #[serde(deserialize_with = "field::integer::<_, 1024, 1_048_576, _>")]
    pub header_bytes: usize,
    /// The maximum size of the body of a request, in bytes.
    #[serde(deserialize_with = "field::integer::<_, 1, 1_073_741_824, _>")]
    pub body_bytes: usize,
    /// The longest time in which a caller sends the head of a request, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub header_timeout_ms: u64,
    /// The longest time in which a caller sends the body of a request, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub body_timeout_ms: u64,
    /// The maximum number of concurrent connections from callers.
    #[serde(deserialize_with = "field::integer::<_, 1, 1_000_000, _>")]
    pub connections: usize,
    /// The time for which an address given to a caller is valid, in milliseconds.
    ///
    /// A stopping router accepts connections for the same time.
    #[serde(deserialize_with = "field::millis")]
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            connections: 1024,
            drain_ms: 5_000,
        }
    }
}

const fn default_threads() -> usize {
    2
}

fn default_instances_path() -> String {
    "/instances".to_owned()
}

const fn default_retention_ms() -> u64 {
    3_600_000
}

impl Settings {
    /// Parses a settings file.
    ///
    /// # Errors
    /// Returns [`Error::Settings`] with all faults that were found, each with its position.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        Document::parse::<Self>(text, PLACEHOLDERS, problems)
            .map_err(|faults| Report::new(Error::Settings(faults)))
    }
}

fn problems(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    if settings.listen.ip().is_unspecified() && settings.advertise.is_none() {
        problems.push(unadvertised("/listen", "advertise"));
    }
    if settings.peer_listen.ip().is_unspecified() && settings.peer_advertise.is_none() {
        problems.push(unadvertised("/peer_listen", "peer_advertise"));
    }
    problems
}

fn unadvertised(pointer: &str, field: &str) -> Problem {
    Problem::new(pointer, &format!("a concrete address, or one given in `{field}` as well"))
}
