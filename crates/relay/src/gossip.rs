//! The heartbeat that routers send to each other, with the load that they have placed on runners.
//!
//! A datagram holds a heartbeat as earlier versions know it and an extension that they ignore, so that routers of
//! different versions exchange heartbeats during a rolling upgrade.
//!
//! Heartbeats are authenticated with a key that each process creates at its start and publishes with its identity in a
//! topic of the platform's store, which only the fleet can write.

use std::time::Duration;

use balance::Cause;
use balance::Runner;
use balance::Start;
use balance::Statement;
use balance::rollout;
use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

/// Length of the message authentication code of a heartbeat, in bytes.
const CODE_BYTES: usize = 16;

/// Length of the acknowledged sequence number, in bytes.
const ACKNOWLEDGED_BYTES: usize = 8;

/// The digest that stands for a name in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Digest(u32);

impl Digest {
    /// Returns the digest of a name.
    pub(crate) fn of(name: &str) -> Self {
        Self(balance::digest(name))
    }

    /// Returns the digest of the identifier of a runner.
    pub(crate) const fn of_runner(runner: &Runner) -> Self {
        Self(runner.digest())
    }
}

/// The load that the sender has placed on a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunnerLoad {
    /// The runner's id.
    pub(crate) runner: Digest,
    /// Requests that were sent and have not ended.
    pub(crate) running: u32,
    /// Prompt tokens of requests whose first generated token has not arrived.
    pub(crate) backlog: u64,
    /// Tokens that these requests occupy in memory when they end.
    pub(crate) memory: u64,
}

/// The recent use of engines by a workspace, through the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkspaceUse {
    /// The workspace's name.
    pub(crate) workspace: Digest,
    /// The decaying sum of its work, in tokens.
    pub(crate) work: u64,
}

/// What a workspace has used and lacked while engines were short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Shortage {
    /// The workspace's name.
    pub(crate) workspace: Digest,
    /// The decaying sum of the work that was granted meanwhile, in tokens.
    pub(crate) contended: u64,
    /// The decaying sum of the work that was not granted, in tokens.
    pub(crate) unmet: u64,
}

/// The sender's adaptive limits on the load of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServiceLimits {
    /// The service's name.
    pub(crate) service: Digest,
    /// The maximum number of prompt tokens that may wait.
    pub(crate) backlog: u64,
    /// The maximum number of requests that may run.
    pub(crate) running: u32,
}

/// The number of runner crashes under a request, as earlier versions report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashCount {
    digest: u64,
    count: u32,
}

/// A runner's crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Crash {
    /// The digest of the runner's incarnation.
    pub(crate) incarnation: u32,
    /// The time since the crash, in milliseconds.
    pub(crate) age_ms: u32,
}

/// What the sender knows about a possible cause of crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashEvidence {
    /// The possible cause.
    pub(crate) cause: Cause,
    /// The crashes of runners under requests that hold it.
    pub(crate) crashes: Vec<Crash>,
    /// The time since the last answer to such a request, in milliseconds.
    pub(crate) answered_ms: Option<u32>,
    /// Whether the sender has the cause quarantined.
    pub(crate) is_quarantined: bool,
}

/// How long work takes at a runner, as it has stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunnerPace {
    /// The runner's id.
    pub(crate) runner: Digest,
    /// In percent of the usual time.
    pub(crate) percent: u32,
    /// The time since the statement, in milliseconds.
    pub(crate) age_ms: u32,
}

/// The limit on the rate of requests to a runner, as it has stated it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct RunnerRate {
    /// The digest of the runner's incarnation.
    pub(crate) incarnation: u32,
    /// Requests per second from all routers together; `None` if it has stated no limit.
    pub(crate) per_second: Option<f64>,
    /// The time since the statement, in milliseconds.
    pub(crate) age_ms: u32,
}

impl RunnerRate {
    /// Returns the limit; a figure that can't be true is none.
    pub(crate) fn stated(&self) -> Option<f64> {
        self.per_second.filter(|per_second| *per_second >= 0.0)
    }

    /// Returns the statement of a report that was made at `at`.
    pub(crate) fn statement(&self, at: Duration) -> Statement {
        let age = Duration::from_millis(u64::from(self.age_ms));
        Statement { per_second: self.stated(), at: at.saturating_sub(age) }
    }
}

/// The sender's view of a topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TopicStatus {
    /// The offset after the last change that the sender has read; its era stands in the extension.
    pub(crate) last_change: u64,
    /// How long ago the sender knew that there was no later change, in milliseconds; `None` if it does not know.
    pub(crate) age_ms: Option<u64>,
}

/// A shared part of a prompt that the sender has placed on a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacedPart {
    /// The id of the part.
    pub(crate) part: u64,
    /// The runner's id.
    pub(crate) runner: Digest,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The name of the sender.
    pub(crate) sender: String,
    /// The incarnation of the sender's process.
    pub(crate) incarnation: u64,
    /// The sequence number, which increases with each heartbeat.
    pub(crate) sequence: u64,
    /// Whether the sender accepts callers.
    pub(crate) is_ready: bool,
    /// The load that the sender has placed on runners.
    pub(crate) loads: Vec<RunnerLoad>,
    /// Shared parts placed since the last heartbeat.
    pub(crate) placed: Vec<PlacedPart>,
    /// The recent use of engines by workspaces.
    pub(crate) used: Vec<WorkspaceUse>,
    /// The adaptive limits on the load of engines.
    pub(crate) limits: Vec<ServiceLimits>,
    /// Left empty; earlier versions name requests that crash runners here.
    pub(crate) crash_counts: Vec<CrashCount>,
    /// The views of the topics of the store, in the order of [`crate::Topic`].
    pub(crate) topics: Vec<TopicStatus>,
    /// The number of requests in the last second.
    pub(crate) requests: u32,
    /// Whether the sender knows which keys are valid.
    pub(crate) is_current: bool,
}

/// The state of a router, as the aggregator of its zone reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberReport {
    /// The name of the router.
    pub(crate) name: Digest,
    /// The low half of its incarnation.
    pub(crate) incarnation: u32,
    /// The time since its last heartbeat, in milliseconds.
    pub(crate) age_ms: u32,
    /// Whether it accepts callers.
    pub(crate) is_ready: bool,
    /// Whether it knows which API keys are valid.
    pub(crate) is_current: bool,
    /// The number of its requests in the last second.
    pub(crate) requests: u32,
}

/// The sums over all routers of an availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ZoneSums {
    /// The zone.
    pub(crate) zone: String,
    /// The time since the sums were made, in milliseconds.
    pub(crate) age_ms: u32,
    /// The load that these routers have placed on runners.
    pub(crate) loads: Vec<RunnerLoad>,
    /// Shared parts placed since the last sums.
    pub(crate) placed: Vec<PlacedPart>,
    /// The recent use of engines by workspaces.
    pub(crate) used: Vec<WorkspaceUse>,
    /// The aggregator's adaptive limits on the load of engines.
    pub(crate) limits: Vec<ServiceLimits>,
    /// Left empty; earlier versions name requests that crash runners here.
    pub(crate) crash_counts: Vec<CrashCount>,
    /// The routers of the zone.
    pub(crate) members: Vec<MemberReport>,
    /// What workspaces have used and lacked while engines were short.
    #[serde(skip)]
    pub(crate) shortage: Vec<Shortage>,
    /// What the routers of the zone know about crashes of runners.
    #[serde(skip)]
    pub(crate) crash_evidence: Vec<CrashEvidence>,
    /// How long work takes at runners, by the newest statements that routers of the zone have seen.
    #[serde(skip)]
    pub(crate) paces: Vec<RunnerPace>,
    /// The rollouts, with the sums of the evidence of the zone.
    #[serde(skip)]
    pub(crate) rollouts: Vec<rollout::Report>,
    /// The limits on the rate of requests to runners, by statements known in the zone.
    #[serde(skip)]
    pub(crate) rates: Vec<RunnerRate>,
}

/// The part of a datagram that routers of earlier versions ignore.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Extension {
    /// The number of routers of the sender's zone from which it has heard recently.
    pub(crate) heard: u32,
    /// Whether the sender's last call to the store succeeded.
    pub(crate) reaches_store: bool,
    /// The sums of the sender's own zone for other zones, or those of other zones for its own.
    pub(crate) sums: Vec<ZoneSums>,
    /// What workspaces have used and lacked at the sender while engines were short.
    #[serde(skip)]
    pub(crate) shortage: Vec<Shortage>,
    /// The runners that are known to leave.
    #[serde(skip)]
    pub(crate) leaving: Vec<Start>,
    /// Further departures; `None` if the sender has an earlier version, which does not tell all of them.
    #[serde(skip)]
    pub(crate) departures: Option<DepartureReport>,
    /// The eras of the store in which the last changes were read, in the order of the topics.
    #[serde(skip)]
    pub(crate) eras: Vec<u32>,
    /// What the sender has seen of crashes of runners.
    #[serde(skip)]
    pub(crate) crash_evidence: Vec<CrashEvidence>,
    /// How long work takes at runners, by statements that the sender has seen since its last heartbeat.
    #[serde(skip)]
    pub(crate) paces: Vec<RunnerPace>,
    /// The rollouts, with the evidence of the sender.
    #[serde(skip)]
    pub(crate) rollouts: Vec<rollout::Report>,
    /// The limits on the rate of requests to runners, by statements that the sender has seen since its last heartbeat.
    #[serde(skip)]
    pub(crate) rates: Vec<RunnerRate>,
}

/// The departures of runners that [`Extension::leaving`] does not name; the part of a datagram after the crash report, which
/// earlier versions ignore.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DepartureReport {
    /// The position after the last change of runners that is no departure.
    pub(crate) last_untold: u64,
    /// The runners whose registrations were removed from the store lately.
    pub(crate) removals: Vec<RemovedRunner>,
}

/// A runner whose registration was removed from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RemovedRunner {
    /// The runner.
    pub(crate) start: Start,
    /// The position of the record that removes the registration.
    pub(crate) position: u64,
    /// The time since the first router knew of it, in milliseconds.
    pub(crate) age_ms: u32,
}

/// The part of a datagram after the extension, which earlier versions ignore.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Supplement {
    /// The shortages of workspaces at the sender.
    shortage: Vec<Shortage>,
    /// The shortages in each zone, in the order of [`Extension::sums`].
    shortage_by_zone: Vec<Vec<Shortage>>,
    /// The runners that are known to leave.
    leaving: Vec<Start>,
    /// The eras of the store in which the last changes were read, in the order of [`Heartbeat::topics`].
    eras: Vec<u32>,
}

/// The part of a datagram after the supplement, which earlier versions ignore.
#[derive(Debug, Default, Serialize, Deserialize)]
struct CrashReport {
    /// What the sender has seen.
    own: Vec<CrashEvidence>,
    /// What the routers of each zone know, in the order of [`Extension::sums`].
    by_zone: Vec<Vec<CrashEvidence>>,
}

/// The part of a datagram that tells how long work takes at runners.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PaceReport {
    own: Vec<RunnerPace>,
    /// Those of each zone whose sums are told, in the order of the sums.
    by_zone: Vec<Vec<RunnerPace>>,
}

/// The part of a datagram that tells of rollouts, which earlier versions ignore; left out if it and what follows are empty.
#[derive(Debug, Default, Serialize, Deserialize)]
struct RolloutReports {
    /// Those of the sender.
    own: Vec<rollout::Report>,
    /// Those of each zone, in the order of [`Extension::sums`].
    by_zone: Vec<Vec<rollout::Report>>,
}

/// The last part of a datagram, which earlier versions ignore and which is left out while no runner states a limit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct RateReport {
    own: Vec<RunnerRate>,
    /// Those of each zone whose sums are told, in the order of the sums.
    by_zone: Vec<Vec<RunnerRate>>,
}

/// A received heartbeat, and the newest heartbeat of the receiver that it acknowledges.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Received {
    pub(crate) heartbeat: Heartbeat,
    /// The extension; `None` if the sender has an earlier version.
    pub(crate) extension: Option<Extension>,
    /// The sequence number of the acknowledged heartbeat; 0 if there is none.
    pub(crate) acknowledged: u64,
}

/// Encodes a heartbeat with its extension, whose content is the same for all receivers.
pub(crate) fn encode(heartbeat: &Heartbeat, extension: &Extension) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(heartbeat).ok()?;
    let encoded = postcard::to_extend(extension, encoded).ok()?;
    let supplement = Supplement {
        shortage: extension.shortage.clone(),
        shortage_by_zone: extension.sums.iter().map(|sums| sums.shortage.clone()).collect(),
        leaving: extension.leaving.clone(),
        eras: extension.eras.clone(),
    };
    let encoded = postcard::to_extend(&supplement, encoded).ok()?;
    let crash_report = CrashReport {
        own: extension.crash_evidence.clone(),
        by_zone: extension.sums.iter().map(|sums| sums.crash_evidence.clone()).collect(),
    };
    let encoded = postcard::to_extend(&crash_report, encoded).ok()?;
    let Some(departures) = &extension.departures else { return Some(encoded) };
    let encoded = postcard::to_extend(departures, encoded).ok()?;
    let pace_report = PaceReport {
        own: extension.paces.clone(),
        by_zone: extension.sums.iter().map(|sums| sums.paces.clone()).collect(),
    };
    let encoded = postcard::to_extend(&pace_report, encoded).ok()?;
    let rollouts = RolloutReports {
        own: extension.rollouts.clone(),
        by_zone: extension.sums.iter().map(|sums| sums.rollouts.clone()).collect(),
    };
    let rates = RateReport {
        own: extension.rates.clone(),
        by_zone: extension.sums.iter().map(|sums| sums.rates.clone()).collect(),
    };
    let has_rates = !(rates.own.is_empty() && rates.by_zone.iter().all(Vec::is_empty));
    let has_rollouts = !(rollouts.own.is_empty() && rollouts.by_zone.iter().all(Vec::is_empty));
    if !has_rates && !has_rollouts {
        return Some(encoded);
    }
    let encoded = postcard::to_extend(&rollouts, encoded).ok()?;
    if !has_rates {
        return Some(encoded);
    }
    postcard::to_extend(&rates, encoded).ok()
}

/// Decodes an extension, with the later parts of the datagram if the sender's version has them.
fn decode_extension(bytes: &[u8]) -> Option<Extension> {
    let (mut extension, rest): (Extension, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
    let (supplement, rest): (Supplement, &[u8]) =
        postcard::take_from_bytes(rest).unwrap_or_default();
    let (crash_report, rest): (CrashReport, &[u8]) =
        postcard::take_from_bytes(rest).unwrap_or_default();
    let departures = postcard::take_from_bytes(rest).ok();
    let (departures, rest) = departures.map_or((None, &[][..]), |(told, rest)| (Some(told), rest));
    let (pace_report, rest): (PaceReport, &[u8]) =
        postcard::take_from_bytes(rest).unwrap_or_default();
    let (rollouts, rest): (RolloutReports, &[u8]) =
        postcard::take_from_bytes(rest).unwrap_or_default();
    let rates: RateReport = postcard::from_bytes(rest).unwrap_or_default();
    extension.departures = departures;
    extension.paces = pace_report.own;
    extension.rollouts = rollouts.own;
    extension.rates = rates.own;
    for (sums, rates) in extension.sums.iter_mut().zip(rates.by_zone) {
        sums.rates = rates;
    }
    for (sums, reports) in extension.sums.iter_mut().zip(rollouts.by_zone) {
        sums.rollouts = reports;
    }
    extension.shortage = supplement.shortage;
    extension.leaving = supplement.leaving;
    extension.eras = supplement.eras;
    extension.crash_evidence = crash_report.own;
    for (sums, shortage) in extension.sums.iter_mut().zip(supplement.shortage_by_zone) {
        sums.shortage = shortage;
    }
    for (sums, paces) in extension.sums.iter_mut().zip(pace_report.by_zone) {
        sums.paces = paces;
    }
    for (sums, crash_evidence) in extension.sums.iter_mut().zip(crash_report.by_zone) {
        sums.crash_evidence = crash_evidence;
    }
    Some(extension)
}

/// Appends the acknowledged sequence number for one receiver, and the authentication code of the entire datagram.
pub(crate) fn seal(encoded: &[u8], acknowledged: u64, key: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(encoded.len() + ACKNOWLEDGED_BYTES + CODE_BYTES);
    bytes.extend_from_slice(encoded);
    bytes.extend_from_slice(&acknowledged.to_be_bytes());
    let code = mac(key, &bytes).finalize().into_bytes();
    bytes.extend_from_slice(&code[..CODE_BYTES]);
    bytes
}

/// Decodes a datagram and verifies its authentication code; `key_of` returns the key of a sender and incarnation.
pub(crate) fn open(
    bytes: &[u8],
    key_of: impl FnOnce(&str, u64) -> Option<String>,
) -> Option<Received> {
    let (content, code) = bytes.split_at_checked(bytes.len().checked_sub(CODE_BYTES)?)?;
    let (encoded, acknowledged) = content.split_last_chunk::<ACKNOWLEDGED_BYTES>()?;
    let (heartbeat, rest): (Heartbeat, &[u8]) = postcard::take_from_bytes(encoded).ok()?;
    let key = key_of(&heartbeat.sender, heartbeat.incarnation)?;
    mac(&key, content).verify_truncated_left(code).ok()?;
    let extension = decode_extension(rest);
    Some(Received { heartbeat, extension, acknowledged: u64::from_be_bytes(*acknowledged) })
}

/// Encodes a message and appends its authentication code.
pub(crate) fn seal_message(message: &impl Serialize, key: &str) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(message).ok()?;
    let code = mac(key, &bytes).finalize().into_bytes();
    bytes.extend_from_slice(&code[..CODE_BYTES]);
    Some(bytes)
}

/// Decodes a message and verifies its authentication code; `key_of` returns the key of its sender.
pub(crate) fn open_message<T: DeserializeOwned>(
    bytes: &[u8],
    key_of: impl FnOnce(&T) -> Option<String>,
) -> Option<T> {
    let (content, code) = bytes.split_at_checked(bytes.len().checked_sub(CODE_BYTES)?)?;
    let message: T = postcard::from_bytes(content).ok()?;
    let key = key_of(&message)?;
    mac(&key, content).verify_truncated_left(code).ok()?;
    Some(message)
}

fn mac(key: &str, bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(bytes);
    mac
}
