//! Settings of a router that balances load without a dispatcher, in JSON with comments.

use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use balance::rollout;
use base::Name;
use error_stack::Report;
use json_comments::StripComments;
use serde::Deserialize;

use crate::capacity;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance, unique in the fleet.
    pub name: Name,
    /// The availability zone of the instance.
    pub zone: Name,
    /// The addresses at which requests are accepted.
    pub listen: Listen,
    /// The address at which heartbeats of other routers are received.
    pub peers: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The processors of the instance, possibly a fraction of one.
    pub share: f64,
    /// How long the process may continue after it is asked to terminate, in seconds.
    pub grace_s: f64,
    /// The limits that hold over all routers together.
    pub bounds: Bounds,
    /// The memory of the instance, in MiB; `None` for that of the machine.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// The maximum number of file descriptors; `None` for the limit of the process.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
}

/// The addresses at which requests are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers that are forwarded.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Requests for the addresses of routers.
    pub directory: SocketAddr,
    /// Requests for metrics.
    pub metrics: SocketAddr,
}

/// The limits that hold over all routers together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The tolerated multiple of the rate of a cold runner.
    pub cold_factor: f64,
    /// Requests per second to a cold runner that are tolerated in addition.
    pub cold_constant: f64,
    /// Retries allowed per request of callers.
    pub retry_ratio: f64,
    /// Retries per window that are allowed in addition.
    pub retry_constant: f64,
    /// The window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// How long a key may still be served after it was revoked, in milliseconds; `None` for no limit.
    pub revocation_ms: Option<u64>,
    /// How long a runner still serves after it has reported that it leaves, in milliseconds; `None` if that is unknown.
    #[serde(default)]
    pub leaving_ms: Option<u64>,
    /// The fraction of the requests to a service that may reach a bad version of it.
    #[serde(default)]
    pub expose_share: Option<f64>,
    /// Requests that may reach a bad version in addition.
    #[serde(default)]
    pub expose_slack: Option<f64>,
    /// The time after which no request reaches a version that was found bad, in milliseconds.
    #[serde(default)]
    pub rollback_ms: Option<u64>,
}

impl Settings {
    /// Parses settings and checks them.
    ///
    /// # Errors
    /// Returns the invalid field and the reason.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        let mut stripped = String::new();
        StripComments::new(text.as_bytes())
            .read_to_string(&mut stripped)
            .map_err(|error| Report::new(Error(format!("comments: {error}"))))?;
        let mut source = serde_json::Deserializer::from_str(&stripped);
        let settings: Self = serde_path_to_error::deserialize(&mut source)
            .map_err(|error| Report::new(Error(error.to_string())))?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns how long the process may continue after it is asked to terminate.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns how long a key may still be served after it was revoked, if that is limited.
    #[must_use]
    pub fn revocation(&self) -> Option<Duration> {
        self.bounds.revocation_ms.map(Duration::from_millis)
    }

    /// Returns how long a runner still serves after it has reported that it leaves, if that is known.
    #[must_use]
    pub fn leaving(&self) -> Option<Duration> {
        self.bounds.leaving_ms.map(Duration::from_millis)
    }

    /// Returns the limits on the requests that may reach a bad version.
    #[must_use]
    pub fn rollout_bounds(&self) -> rollout::Bounds {
        let default = rollout::Bounds::default();
        let bounds = &self.bounds;
        rollout::Bounds {
            share: bounds.expose_share.unwrap_or(default.share),
            slack: bounds.expose_slack.unwrap_or(default.slack),
            rollback: bounds.rollback_ms.map_or(default.rollback, Duration::from_millis),
        }
    }

    fn check(&self) -> Result<(), Report<Error>> {
        let bounds = &self.bounds;
        let rollout = self.rollout_bounds();
        let numbers = [
            ("share", self.share, 0.001, "processors"),
            ("grace_s", self.grace_s, 0.1, "seconds"),
            ("bounds.cold_factor", bounds.cold_factor, 0.0, "times a cold runner's rate"),
            ("bounds.cold_constant", bounds.cold_constant, 0.0, "requests a second"),
            ("bounds.retry_ratio", bounds.retry_ratio, 0.0, "retries a request"),
            ("bounds.retry_constant", bounds.retry_constant, 0.0, "retries"),
            ("bounds.retry_window_s", bounds.retry_window_s, 0.1, "seconds"),
            ("bounds.expose_share", rollout.share, 0.0, "of the requests"),
            ("bounds.expose_slack", rollout.slack, 0.0, "requests"),
        ];
        for (field, value, minimum, unit) in numbers {
            if !(value >= minimum && value.is_finite()) {
                let text = format!("{field}: {value} is not a number of at least {minimum} {unit}");
                return Err(Report::new(Error(text)));
            }
        }
        if rollout.share > 1.0 {
            let text = format!("bounds.expose_share: {} is more than 1", rollout.share);
            return Err(Report::new(Error(text)));
        }
        let counts = [
            (
                "memory_mb",
                self.memory_mb,
                capacity::MIN_MEMORY_MB,
                "MiB: 24 for the process itself, a quarter for connections, the rest for bodies and answers",
            ),
            (
                "max_descriptors",
                self.max_descriptors,
                capacity::MIN_DESCRIPTORS,
                "descriptors: callers and requests to runners have three parts in eight each",
            ),
        ];
        for (field, value, minimum, need) in counts {
            if let Some(value) = value.filter(|value| *value < minimum) {
                let text = format!("{field}: {value} is too small, at least {minimum} {need}");
                return Err(Report::new(Error(text)));
            }
        }
        Ok(())
    }
}
