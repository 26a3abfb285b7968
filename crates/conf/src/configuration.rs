//! Configuration of the fleet: workspaces, services with their runners, and zones.

use std::net::SocketAddr;

use base::Class;
use base::Name;
use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::Error;
use crate::document::Document;
use crate::field;

mod check;

/// A whole value of each field, taken in place of a faulty one to find further faults.
const STAND_IN: &str = include_str!("configuration.stand-in.json");

/// Configuration of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The customers.
    #[serde(deserialize_with = "field::list")]
    pub workspaces: Vec<Workspace>,
    /// The services that are offered.
    #[serde(deserialize_with = "field::list")]
    pub services: Vec<Service>,
    /// The availability zones.
    #[serde(deserialize_with = "field::list")]
    pub zones: Vec<Zone>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The unique name.
    #[serde(deserialize_with = "field::name")]
    pub name: Name,
    /// The share of the fleet relative to other workspaces.
    #[serde(default = "default_weight", deserialize_with = "field::whole::<_, 1, 1000, _>")]
    pub weight: u32,
    /// Digests of the tokens that callers show, as by [`crate::digest`].
    #[serde(deserialize_with = "field::digests")]
    pub tokens_sha256: Vec<String>,
    /// How many requests may wait in one queue.
    #[serde(
        default = "default_queue_limit",
        deserialize_with = "field::whole::<_, 1, 1_000_000, _>"
    )]
    pub queue_limit: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The unique name.
    #[serde(deserialize_with = "field::name")]
    pub name: Name,
    /// What its runners do.
    pub kind: Kind,
    /// The region of its runners.
    #[serde(deserialize_with = "field::name")]
    pub region: Name,
    /// The classes of requests that it takes.
    #[serde(deserialize_with = "field::list")]
    pub classes: Vec<Class>,
    /// How long its requests may take.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Its runners.
    #[serde(deserialize_with = "field::list")]
    pub runners: Vec<Runner>,
    /// How many runners one shard holds.
    #[serde(default = "default_shard_runners", deserialize_with = "field::whole::<_, 1, 4096, _>")]
    pub shard_runners: u32,
    /// The model that its runners shall have loaded, as `name@version`; none means that no model is ordered.
    #[serde(
        default,
        deserialize_with = "field::optional_model",
        skip_serializing_if = "Option::is_none"
    )]
    pub model: Option<String>,
    /// The adapters that its runners shall have loaded.
    #[serde(default, deserialize_with = "field::names", skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<Name>,
}

/// What the runners of a service do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// They run a model and stream tokens.
    Engine,
    /// They answer plain calls.
    Plain,
}

/// How long requests of a service may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// The time up to the first byte of an answer, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub first_byte_ms: u64,
    /// The time between two bytes of an answer, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub between_bytes_ms: u64,
    /// The time in the queue, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub queue_ms: u64,
    /// The time in the queue for long requests, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub long_queue_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            first_byte_ms: 10_000,
            between_bytes_ms: 2_000,
            queue_ms: 30_000,
            long_queue_ms: 600_000,
        }
    }
}

/// A back end of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// The unique name.
    #[serde(deserialize_with = "field::name")]
    pub name: Name,
    /// Where it listens.
    #[serde(deserialize_with = "field::address")]
    pub address: SocketAddr,
    /// Its availability zone.
    #[serde(deserialize_with = "field::name")]
    pub zone: Name,
    /// Whether it refuses attempts older than one that it has seen.
    #[serde(default)]
    pub checks_fencing: bool,
    /// How many requests it serves at once when it is warm.
    #[serde(deserialize_with = "field::whole::<_, 1, 1024, _>")]
    pub warm_limit: u32,
    /// How many requests it serves at once after a start.
    #[serde(deserialize_with = "field::whole::<_, 1, 1024, _>")]
    pub cold_limit: u32,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The unique name.
    #[serde(deserialize_with = "field::name")]
    pub name: Name,
    /// Its region.
    #[serde(deserialize_with = "field::name")]
    pub region: Name,
}

const fn default_weight() -> u32 {
    1
}

const fn default_queue_limit() -> u32 {
    64
}

const fn default_shard_runners() -> u32 {
    5
}

impl Configuration {
    /// Parses a configuration file.
    ///
    /// # Errors
    /// Returns all faults that were found, each with its position.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        Document::parse(text, STAND_IN, check::problems)
            .map_err(|faults| Report::new(Error::Configuration(faults)))
    }

    /// Returns the workspace that has a token with this digest.
    #[must_use]
    pub fn workspace_of(&self, token_digest_hex: &str) -> Option<&Workspace> {
        let owns = |workspace: &&Workspace| {
            workspace.tokens_sha256.iter().any(|digest| digest == token_digest_hex)
        };
        self.workspaces.iter().find(owns)
    }
}
