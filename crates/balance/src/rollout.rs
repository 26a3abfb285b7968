//! Rollouts of new versions of a service: which runners receive requests, and how a rollout ends.
//!
//! A runner of the version that is rolled out is a candidate; all other runners of the service are the baseline. Each router
//! sends candidates a small part of its own requests, and all routers add up the responses of both versions. A version that
//! is worse than the baseline is stopped. Otherwise new requests move to the candidates shortly before the deadline, and the
//! rollout is completed when the baseline has no requests left.
//!
//! ```
//! use std::time::Duration;
//!
//! assert_eq!(balance::rollout::Order::duration_of(12.0), Some(Duration::from_secs(12)));
//! assert_eq!(balance::rollout::Order::duration_of(-1.0), None);
//! ```

mod evidence;
mod exposure;
mod judgement;
mod order;
mod report;
mod rollouts;
mod status;
pub(crate) mod versions;

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

pub use evidence::Counts;
pub use evidence::Figures;
pub use exposure::Bounds;
pub use order::Order;
pub use order::State;
pub use report::Report;
pub use rollouts::Rollouts;
pub use status::Need;
pub use status::Status;

use crate::Origin;
use crate::rendezvous;
use crate::rollout::evidence::Evidence;
use crate::rollout::exposure::Exposure;
use crate::rollout::judgement::Judgement;
use crate::rollout::judgement::Windows;

/// The part of the duration before the deadline in which requests move to the candidates.
const MARGIN_FRACTION: f64 = 0.25;
/// The bounds of that part.
const MIN_MARGIN: Duration = Duration::from_secs(2);
const MAX_MARGIN: Duration = Duration::from_secs(8);
/// The part of a short duration that the margin takes at most.
const MAX_MARGIN_FRACTION: f64 = 0.5;
/// The part of the margin after which the baseline receives no more requests.
const SHIFTING_FRACTION: f64 = 0.5;
/// The part of the margin before the deadline at which the rollout is completed even if old runners still have requests.
const FINAL_FRACTION: f64 = 0.25;
/// The bounds of that part, in which the store must accept the status.
const MIN_FINAL: Duration = Duration::from_millis(300);
const MAX_FINAL: Duration = Duration::from_millis(1_500);
/// The time for which the completion is not given up once it is to be written.
const MAX_COMPLETION_TIME: Duration = Duration::from_secs(1);
/// One in this many requests still goes to the baseline while requests move, so that a fault of the whole service is not taken
/// for one of the version.
const CONTROL_INTERVAL: u64 = 8;
/// The multiple of the time of a slow response from which on one is slow when the baseline has no requests to compare with, so that
/// machines that are slow for a while are not taken for a bad version.
const UNCOMPARED_SLOW_FACTOR: u32 = 3;
/// The time before the completion at the latest in which streams move from old runners.
const MOVE_TIME: Duration = Duration::from_millis(700);
/// The least number of runners that receive the requests on trial, so that evidence comes from more than one.
const MIN_CANARIES: usize = 2;
/// The part of [`Bounds::rollback`] after which a router that hears no other one sends candidates nothing.
const CONTACT_FRACTION: f64 = 0.3;

/// What a router knows of the state of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The router has not learnt whether the rollout has ended.
    Unknown,
    /// Both versions serve.
    Running,
    /// The version was found bad.
    Stopped,
    /// The status topic says that the rollout is completed.
    Completed,
}

/// Which requests the runners of a service receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The state is unknown, so candidates receive nothing while the baseline serves.
    Unknown,
    /// A part of the requests goes to some candidates.
    Canary,
    /// Requests go to candidates that have capacity.
    Shifting,
    /// Requests go to candidates only.
    Exclusive,
    /// The baseline has ended.
    Completed,
    /// Requests go to the baseline only.
    Stopped,
}

/// The requests that a runner receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// All requests.
    #[default]
    Regular,
    /// Requests on trial.
    Canary,
    /// None.
    Excluded,
}

/// What other routers have told of the requests at old runners.
#[derive(Debug, Clone, Copy)]
struct Progress {
    is_drained: bool,
    at: Duration,
}

/// A candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The identifier of the runner.
    pub id: &'a str,
    /// Whether its registration allows requests.
    pub is_serving: bool,
    /// Whether its recent responses allow them too.
    pub is_healthy: bool,
}

/// The state of a service and of the fleet on which the next step of its rollout depends.
#[derive(Debug, Clone, Default)]
pub struct Conditions<'a> {
    /// The runners of the version that is rolled out.
    pub candidates: Vec<Candidate<'a>>,
    /// The number of runners of other versions that may be sent requests.
    pub baseline: usize,
    /// The requests of this router at runners of other versions.
    pub in_flight: u32,
    /// The routers and zones that report to this router.
    pub reporting: &'a [Origin],
    /// The number of routers, if it is known.
    pub routers: Option<usize>,
    /// The time since this router has heard any other one; `None` if there is none.
    pub silence: Option<Duration>,
}

/// An event of a rollout, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// The name of the event.
    pub event: &'static str,
    /// The service.
    pub service: Name,
    /// What has happened.
    pub text: String,
}

/// A rollout of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// What this router knows of its state.
    pub phase: Phase,
    /// The state that the status topic is known to hold.
    written: Option<State>,
    /// The deadline; `None` until the service exists.
    deadline: Option<Duration>,
    known_at: Duration,
    /// The time since which the state to be written is that of [`Rollout::target`].
    target_since: Duration,
    stage: Stage,
    evidence: Evidence,
    windows: Windows,
    slow_times: IndexMap<u32, Duration>,
    good: u32,
    exposure: Exposure,
    /// The requests of callers at this router.
    requests: u64,
    /// The runners that alone give bad responses, which receive no requests while there are other candidates.
    suspended: IndexSet<u32>,
    /// The names of routes by digest, for the log.
    routes: IndexMap<u32, Name>,
    /// The candidates that receive requests, by digest.
    used: IndexSet<u32>,
    has_baseline: bool,
    has_candidates: bool,
    /// Versions of replaced orders, which receive no requests.
    abandoned: IndexSet<Name>,
    /// Replaced orders, whose records a restored store may have again.
    replaced: Vec<(u64, Name)>,
    progress: IndexMap<Origin, Progress>,
    is_drained: bool,
    is_zone_drained: bool,
    wants_completion: bool,
    notes: Vec<Note>,
}

impl Rollout {
    fn new(now: Duration, order: Order, phase: Phase) -> Self {
        let mut rollout = Self {
            phase,
            written: None,
            deadline: None,
            known_at: now,
            target_since: now,
            stage: Stage::Unknown,
            evidence: Evidence::default(),
            windows: Windows::default(),
            slow_times: IndexMap::new(),
            good: 0,
            exposure: Exposure::default(),
            requests: 0,
            suspended: IndexSet::new(),
            routes: IndexMap::new(),
            used: IndexSet::new(),
            has_baseline: true,
            has_candidates: false,
            abandoned: IndexSet::new(),
            replaced: Vec::new(),
            progress: IndexMap::new(),
            is_drained: false,
            is_zone_drained: false,
            wants_completion: false,
            notes: Vec::new(),
            order,
        };
        let text = match rollout.order.duration {
            Some(duration) => format!("to {}, {} ms", rollout.order.to, duration.as_millis()),
            None => format!("to {}, invalid duration", rollout.order.to),
        };
        rollout.note("rollout_ordered", text);
        rollout
    }

    fn note(&mut self, event: &'static str, text: String) {
        self.notes.push(Note { event, service: self.order.service.clone(), text });
    }

    /// Replaces the order by a newer one; returns the rollout of that.
    fn replace(self, now: Duration, order: Order, phase: Phase) -> Self {
        let mut replaced = self.replaced.clone();
        replaced.push((self.order.position, self.order.to.clone()));
        let is_open = matches!(self.phase, Phase::Running | Phase::Unknown);
        if order.to == self.order.to && is_open {
            let phase = if self.phase == Phase::Running { Phase::Running } else { phase };
            let text = format!("to {}, replaces an order for the same version", order.to);
            let mut same = Self {
                order,
                phase,
                replaced,
                written: None,
                deadline: None,
                known_at: now,
                target_since: now,
                wants_completion: false,
                ..self
            };
            same.note("rollout_ordered", text);
            return same;
        }
        let mut abandoned = self.abandoned.clone();
        if self.phase != Phase::Completed {
            abandoned.insert(self.order.to.clone());
        }
        abandoned.shift_remove(&order.to);
        let mut next = Self::new(now, order, phase);
        next.notes.splice(..0, self.notes);
        (next.abandoned, next.replaced) = (abandoned, replaced);
        next
    }

    /// Returns the time before the deadline at which requests begin to move to the candidates.
    fn margin(&self) -> Duration {
        let duration = self.order.duration.unwrap_or_default();
        let margin = duration.mul_f64(MARGIN_FRACTION).clamp(MIN_MARGIN, MAX_MARGIN);
        margin.min(duration.mul_f64(MAX_MARGIN_FRACTION))
    }

    /// Returns the time at which the rollout is completed at the latest.
    fn final_at(&self, deadline: Duration) -> Duration {
        let before = self.margin().mul_f64(FINAL_FRACTION).clamp(MIN_FINAL, MAX_FINAL);
        deadline.saturating_sub(before)
    }

    /// Returns whether runners of a version are about to end, so that requests there which can go on elsewhere should.
    fn ends_soon(&self, now: Duration, version: Option<&Name>) -> bool {
        let is_old = version != Some(&self.order.to);
        let final_at = self.deadline.map(|deadline| self.final_at(deadline));
        is_old
            && self.stage == Stage::Exclusive
            && self.has_candidates
            && final_at.is_some_and(|final_at| now.saturating_add(MOVE_TIME) >= final_at)
    }

    fn stage_at(&self, now: Duration) -> Stage {
        match self.phase {
            Phase::Unknown => Stage::Unknown,
            Phase::Stopped => Stage::Stopped,
            Phase::Completed => Stage::Completed,
            Phase::Running => {
                let left = self.deadline.unwrap_or(Duration::MAX).saturating_sub(now);
                let margin = self.margin();
                if left > margin {
                    Stage::Canary
                } else if left > margin.mul_f64(SHIFTING_FRACTION) {
                    Stage::Shifting
                } else {
                    Stage::Exclusive
                }
            }
        }
    }

    /// Ends the rollout for this router; the verdict is final.
    fn stop(&mut self, now: Duration, reason: &str) {
        if matches!(self.phase, Phase::Stopped | Phase::Completed) {
            return;
        }
        (self.phase, self.stage, self.target_since) = (Phase::Stopped, Stage::Stopped, now);
        self.wants_completion = false;
        let evidence = self.describe_evidence();
        self.note("rollout_stopped", format!("to {}: {reason}; {evidence}", self.order.to));
    }

    /// Records that the status topic says that the rollout is completed, which is final.
    fn complete(&mut self, now: Duration) {
        self.written = Some(State::Completed);
        if self.phase == Phase::Completed {
            return;
        }
        (self.phase, self.stage, self.target_since) = (Phase::Completed, Stage::Completed, now);
        let evidence = self.describe_evidence();
        self.note("rollout_completed", format!("to {}; {evidence}", self.order.to));
    }

    fn begin(&mut self, now: Duration) {
        if self.phase == Phase::Unknown {
            (self.phase, self.target_since) = (Phase::Running, now);
        }
    }

    fn describe_evidence(&self) -> String {
        let total = self.evidence.total();
        let name = |route| self.routes.get(&route).map_or("unknown", Name::as_str);
        let describe = |counts: Counts| format!("{} of {} bad", counts.bad, counts.responses);
        let mut text = format!(
            "candidates {}, baseline {}",
            describe(total.candidate()),
            describe(total.baseline())
        );
        for route in total.routes.iter().filter(|route| route.candidate.bad > 0) {
            let (candidate, baseline) = (describe(route.candidate), describe(route.baseline));
            let name = name(route.route);
            text.push_str(&format!(
                ", route {name}: {candidate} of candidates, {baseline} of others"
            ));
        }
        text
    }

    /// Judges the evidence and takes the steps that are due.
    fn update(&mut self, now: Duration, bounds: &Bounds, conditions: &Conditions<'_>) {
        let duration = self.order.duration.unwrap_or_default();
        let deadline = *self.deadline.get_or_insert(now + duration);
        if self.order.duration.is_none() {
            self.stop(now, "the duration is invalid");
        }
        self.has_baseline = conditions.baseline > 0;
        self.has_candidates = conditions.candidates.iter().any(|candidate| candidate.is_serving);
        if self.phase == Phase::Running {
            let total = self.evidence.total();
            let judgement = self.judge(now, &total, conditions);
            self.advance(now, deadline, &total, judgement);
        }
        self.stage = self.stage_at(now);
        self.exposure.update(now, bounds, conditions.routers);
        self.choose_candidates(bounds, conditions);
        self.update_drained(now, conditions);
        if self.phase == Phase::Running
            && self.stage == Stage::Exclusive
            && self.has_candidates
            && (self.is_fleet_drained(conditions) || now >= self.final_at(deadline))
            && !self.wants_completion
        {
            (self.wants_completion, self.target_since) = (true, now);
            let text = if self.is_fleet_drained(conditions) {
                "no requests are left at old runners"
            } else {
                "the deadline is near"
            };
            self.note("rollout_completing", format!("to {}, {text}", self.order.to));
        }
    }

    fn judge(&mut self, now: Duration, total: &Figures, conditions: &Conditions<'_>) -> Judgement {
        self.slow_times = total.slow_times();
        self.good = total.candidate().good();
        let judgement = self.windows.judge(now, total);
        match judgement {
            // Another router may be writing that the rollout is completed, at which old runners end.
            Judgement::Bad if self.is_completing(now) => (),
            Judgement::Bad => self.stop(now, "worse than the baseline"),
            Judgement::Suspect(runner) => self.suspend(runner, conditions),
            Judgement::Sound => (),
        }
        judgement
    }

    /// Records that another router is about to write that the rollout is completed, at which old runners end.
    fn record_completing(&mut self, now: Duration, is_completing: bool) {
        if is_completing && self.phase == Phase::Running && !self.wants_completion {
            (self.wants_completion, self.target_since) = (true, now);
        }
    }

    fn is_completing(&self, now: Duration) -> bool {
        self.wants_completion && now < self.target_since + MAX_COMPLETION_TIME
    }

    fn suspend(&mut self, runner: u32, conditions: &Conditions<'_>) {
        if self.suspended.insert(runner) {
            let mut ids = conditions.candidates.iter().map(|candidate| candidate.id);
            let id = ids.find(|id| rendezvous::digest(id) == runner).unwrap_or("unknown");
            let text = format!("runner {id} alone gives bad responses");
            self.note("rollout_runner_suspended", text);
        }
    }

    /// Ends a rollout that must not go on at this time.
    fn advance(
        &mut self,
        now: Duration,
        deadline: Duration,
        total: &Figures,
        judgement: Judgement,
    ) {
        if self.phase != Phase::Running {
            return;
        }
        let candidate = total.candidate();
        if self.stage_at(now) != Stage::Canary {
            if let Judgement::Suspect(runner) = judgement {
                let others = total.runners.iter().filter(|known| known.runner != runner);
                if others.map(|known| known.counts.good()).sum::<u32>() == 0 {
                    self.stop(now, "only one runner has responded, with bad responses");
                    return;
                }
            }
            if self.stage == Stage::Canary {
                let evidence = self.describe_evidence();
                self.note("rollout_promoting", format!("to {}; {evidence}", self.order.to));
            }
        }
        if now < self.final_at(deadline) || self.wants_completion {
            return;
        }
        if !self.has_candidates {
            self.stop(now, "no runner of the version serves");
        } else if candidate.responses > 0 && candidate.good() == 0 {
            self.stop(now, "no response of the version was good");
        }
    }

    /// Chooses the candidates that receive requests.
    fn choose_candidates(&mut self, bounds: &Bounds, conditions: &Conditions<'_>) {
        let position = self.order.position;
        let serving = conditions.candidates.iter().filter(|candidate| candidate.is_serving);
        let mut ranked: Vec<(bool, u64, u32)> = serving
            .map(|candidate| {
                let digest = rendezvous::digest(candidate.id);
                (!candidate.is_healthy, rendezvous::weight(position, candidate.id), digest)
            })
            .collect();
        ranked.sort_unstable();
        let all: IndexSet<u32> = ranked.into_iter().map(|(.., digest)| digest).collect();
        let mut usable: IndexSet<u32> = all.difference(&self.suspended).copied().collect();
        if usable.is_empty() {
            usable = all;
        }
        let max_silence = bounds.rollback.mul_f64(CONTACT_FRACTION);
        let is_isolated = conditions.silence.is_some_and(|silence| silence > max_silence);
        match self.stage {
            Stage::Canary if self.has_baseline && is_isolated => usable.clear(),
            Stage::Canary if self.has_baseline => {
                let fraction = Exposure::fraction(bounds, self.good);
                let equal = fraction * conditions.baseline as f64 / (1.0 - fraction);
                usable.truncate((equal.ceil() as usize).max(MIN_CANARIES));
            }
            _ => (),
        }
        self.used = usable;
    }

    /// Records whether this router, and its zone, have no requests at old runners and send them none.
    fn update_drained(&mut self, now: Duration, conditions: &Conditions<'_>) {
        let sends_none = self.stage == Stage::Exclusive && self.has_candidates;
        self.is_drained = sends_none && conditions.in_flight == 0;
        let exclusive_for = self.margin().mul_f64(SHIFTING_FRACTION);
        let exclusive_at = self.deadline.unwrap_or(now).saturating_sub(exclusive_for);
        self.progress.retain(|_, progress| progress.at >= exclusive_at);
        let of_zone = conditions.reporting.iter().filter(|origin| origin.is_router());
        self.is_zone_drained = self.is_drained && self.are_drained(of_zone);
    }

    fn is_fleet_drained(&self, conditions: &Conditions<'_>) -> bool {
        self.is_drained && self.are_drained(conditions.reporting.iter())
    }

    fn are_drained<'a>(&self, mut origins: impl Iterator<Item = &'a Origin>) -> bool {
        origins.all(|origin| self.progress.get(origin).is_some_and(|progress| progress.is_drained))
    }

    /// Returns the state to be written to the status topic, if one is known.
    fn target(&self) -> Option<State> {
        match self.phase {
            Phase::Unknown => None,
            Phase::Running if self.wants_completion => Some(State::Completed),
            Phase::Running => Some(State::Running),
            Phase::Stopped => Some(State::RolledBack),
            Phase::Completed => Some(State::Completed),
        }
    }

    /// Returns the role of a runner of the service.
    fn role(&self, version: Option<&Name>, runner: u32) -> Role {
        if version.is_some_and(|version| self.abandoned.contains(version)) {
            return Role::Excluded;
        }
        if version == Some(&self.order.to) { self.candidate_role(runner) } else { self.old_role() }
    }

    fn candidate_role(&self, runner: u32) -> Role {
        let is_used = self.used.contains(&runner);
        match self.stage {
            Stage::Stopped => Role::Excluded,
            Stage::Completed => Role::Regular,
            Stage::Unknown if self.has_baseline => Role::Excluded,
            Stage::Canary | Stage::Shifting if self.has_baseline && is_used => Role::Canary,
            _ if is_used => Role::Regular,
            _ => Role::Excluded,
        }
    }

    fn old_role(&self) -> Role {
        match self.stage {
            Stage::Exclusive | Stage::Completed if self.has_candidates => Role::Excluded,
            _ => Role::Regular,
        }
    }

    /// Returns whether the next request is to be sent to a candidate, if one has capacity.
    fn prefers_candidates(&self) -> bool {
        match self.stage {
            Stage::Canary => self.has_baseline && self.exposure.is_due(),
            Stage::Shifting => self.has_baseline && !self.requests.is_multiple_of(CONTROL_INTERVAL),
            _ => false,
        }
    }

    /// Returns whether the response of a route took several times the usual time.
    fn is_slow(&self, route: u32, took: Duration) -> bool {
        let factor = if self.stage == Stage::Exclusive { UNCOMPARED_SLOW_FACTOR } else { 1 };
        self.slow_times.get(&route).is_some_and(|slow| took >= *slow * factor)
    }
}
