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

/// A valid value for each field, which replaces a faulty one so that further faults are found.
const PLACEHOLDERS: &str = include_str!("configuration.placeholders.json");

/// Configuration of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The workspaces of the customers.
    #[serde(deserialize_with = "field::list")]
    pub workspaces: Vec<Workspace>,
    /// The services that are offered.
    #[serde(deserialize_with = "field::list")]
    pub services: Vec<Service>,
    /// The availability zones.
    #[serde(deserialize_with = "field::list")]
    pub zones: Vec<Zone>,
}

/// The workspace of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The unique name.
    #[serde(deserialize_with = "field::name")]
    pub name: Name,
    /// The weight of its fair share of the fleet, relative to other workspaces.
    #[serde(default = "default_weight", deserialize_with = "field::integer::<_, 1, 1000, _>")]
    pub weight: u32,
    /// The digests of the bearer tokens of its callers, as computed by [`crate::digest`].
    #[serde(deserialize_with = "field::digests")]
    pub tokens_sha256: Vec<String>,
    /// The maximum number of its requests that wait in one queue.
    #[serde(
        default = "default_queue_limit",
        deserialize_with = "field::integer::<_, 1, 1_000_000, _>"
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
    /// The kind of its runners.
    pub kind: Kind,
    /// The region in which its runners are.
    #[serde(deserialize_with = "field::name")]
    pub region: Name,
    /// The classes of requests that it accepts.
    #[serde(deserialize_with = "field::list")]
    pub classes: Vec<Class>,
    /// The timeouts of its requests.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Its runners.
    #[serde(deserialize_with = "field::list")]
    pub runners: Vec<Runner>,
    /// The number of runners in one shard.
    #[serde(
        default = "default_shard_runners",
        deserialize_with = "field::integer::<_, 1, 4096, _>"
    )]
    pub shard_runners: u32,
    /// The model that its runners must have loaded, as `name@version`; `None` means that no model is required.
    #[serde(
        default,
        deserialize_with = "field::optional_model",
        skip_serializing_if = "Option::is_none"
    )]
    pub model: Option<String>,
    /// The adapters that its runners must have loaded.
    #[serde(default, deserialize_with = "field::names", skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<Name>,
}

/// The kind of the runners of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Engines, which run a model and stream tokens.
    Engine,
    /// Plain services, which answer plain calls.
    Plain,
}

/// The timeouts of the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// The longest time until the first byte of an answer, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub first_byte_ms: u64,
    /// The longest time between two bytes of an answer, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub between_bytes_ms: u64,
    /// The longest time in the queue, in milliseconds.
    #[serde(deserialize_with = "field::millis")]
    pub queue_ms: u64,
    /// The longest time in the queue for requests of class [`Class::Long`], in milliseconds.
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

/// A runner, which serves requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// The unique name.
    #[serde(deserialize_with = "field::name")]
    pub name: Name,
    /// The address on which it listens.
    #[serde(deserialize_with = "field::address")]
    pub address: SocketAddr,
    /// Its availability zone.
    #[serde(deserialize_with = "field::name")]
    pub zone: Name,
    /// Whether it refuses an attempt older than one that it has received (fencing).
    #[serde(default)]
    pub checks_fencing: bool,
    /// The maximum number of concurrent requests when it is warm.
    #[serde(deserialize_with = "field::integer::<_, 1, 1024, _>")]
    pub warm_limit: u32,
    /// The maximum number of concurrent requests after a cold start.
    #[serde(deserialize_with = "field::integer::<_, 1, 1024, _>")]
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
    /// Returns [`Error::Configuration`] with all faults that were found, each with its position.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        Document::parse(text, PLACEHOLDERS, check::problems)
            .map_err(|faults| Report::new(Error::Configuration(faults)))
    }

    /// Returns the workspace that owns the token with this digest, in hexadecimal.
    #[must_use]
    pub fn workspace_of(&self, token_digest_hex: &str) -> Option<&Workspace> {
        let owns = |workspace: &&Workspace| {
            workspace.tokens_sha256.iter().any(|digest| digest == token_digest_hex)
        };
        self.workspaces.iter().find(owns)
    }
}
