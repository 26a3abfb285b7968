//! The figures that routers report to each other: what this router reports, and how reports of others are applied.

use std::time::Duration;

use balance::Core;
use balance::Distance;
use balance::Identity;
use balance::Load;
use balance::LoadLimits;
use balance::MemberStatus;
use balance::Origin;
use balance::Runner;
use balance::Work;
use base::Name;
use indexmap::IndexMap;

use crate::Router;
use crate::crash_evidence;
use crate::exchange;
use crate::gossip::Digest;
use crate::gossip::Heartbeat;
use crate::gossip::MemberReport;
use crate::gossip::PlacedPart;
use crate::gossip::RunnerLoad;
use crate::gossip::ServiceLimits;
use crate::gossip::Shortage;
use crate::gossip::WorkspaceUse;
use crate::gossip::ZoneSums;
use crate::pace_report;
use crate::rate_report;
use crate::rollout;

/// Figures of one origin.
struct Figures<'a> {
    loads: &'a [RunnerLoad],
    placed: &'a [PlacedPart],
    used: &'a [WorkspaceUse],
    shortage: &'a [Shortage],
    limits: &'a [ServiceLimits],
    /// The number of routers that report these figures.
    routers: usize,
}

/// Returns the load that this router has placed on each runner.
pub(crate) fn own_loads(core: &Core) -> Vec<RunnerLoad> {
    loads(core, |runner| runner.own_load)
}

/// Returns the recent use of engines through this router.
pub(crate) fn own_use(core: &Core, now: Duration) -> Vec<WorkspaceUse> {
    workspace_use(core.usage.own(now))
}

/// Returns what workspaces have used and lacked at this router while engines were short.
pub(crate) fn own_shortage(core: &Core, now: Duration) -> Vec<Shortage> {
    shortage(core.usage.own(now))
}

/// Returns the adaptive limits of this router.
pub(crate) fn limits(core: &Core) -> Vec<ServiceLimits> {
    let limits = core.service_loads().map(|(service, adaptive_limit, _)| {
        let LoadLimits { backlog, running } = adaptive_limit.limits();
        ServiceLimits { service: Digest::of(service.as_str()), backlog, running }
    });
    limits.collect()
}

/// Removes and returns the shared parts that this router has placed since the last call.
pub(crate) fn take_placements(core: &mut Core) -> Vec<PlacedPart> {
    let placed = core.take_placements();
    let known = placed.into_iter().filter_map(|(part, runner)| {
        let runner = core.registry.get(runner)?;
        Some(PlacedPart { part, runner: Digest::of_runner(runner) })
    });
    known.collect()
}

/// Returns the sums over all routers of this router's zone.
pub(crate) fn zone_sums(router: &Router, incarnation: u64) -> ZoneSums {
    let now = router.now();
    let crash_evidence = crash_evidence::of_zone(router);
    let paces = pace_report::of_zone(router);
    let rates = rate_report::of_zone(router);
    let core = router.core.borrow();
    let zone_load = |runner: &Runner| {
        let mut load = runner.own_load;
        load.add(runner.peer_loads.sum_of_routers());
        load
    };
    ZoneSums {
        zone: router.settings.zone.to_string(),
        age_ms: 0,
        loads: loads(&core, zone_load),
        placed: router.exchange.borrow_mut().take_placed(),
        used: workspace_use(core.usage.of_routers(now)),
        shortage: shortage(core.usage.of_routers(now)),
        limits: limits(&core),
        crash_counts: Vec::new(),
        crash_evidence,
        paces,
        rollouts: core.rollouts.reports(now, true),
        rates,
        members: member_reports(router, now, incarnation),
    }
}

/// Applies the figures of a router that exchanges heartbeats with this one directly.
pub(crate) fn apply_heartbeat(
    router: &Router,
    now: Duration,
    heartbeat: &Heartbeat,
    shortage: &[Shortage],
) {
    let figures = Figures {
        loads: &heartbeat.loads,
        placed: &heartbeat.placed,
        used: &heartbeat.used,
        shortage,
        limits: &heartbeat.limits,
        routers: 1,
    };
    let origin = Origin::Router(Name::new(&heartbeat.sender));
    figures.apply(&mut router.core.borrow_mut(), &origin, now, now);
    router.exchange.borrow_mut().record_placed(&heartbeat.placed);
}

/// Applies the sums of another zone, unless newer ones are known; `is_first_hand` tells whether they came from there.
pub(crate) fn apply_sums(router: &Router, now: Duration, sums: &ZoneSums, is_first_hand: bool) {
    if sums.zone == router.settings.zone.as_str() {
        return;
    }
    let recorded = router.exchange.borrow_mut().record_sums(now, sums, is_first_hand);
    let Some(at) = recorded else { return };
    let figures = Figures {
        loads: &sums.loads,
        placed: &sums.placed,
        used: &sums.used,
        shortage: &sums.shortage,
        limits: &sums.limits,
        routers: sums.members.len(),
    };
    let zone = Name::new(&sums.zone);
    figures.apply(&mut router.core.borrow_mut(), &Origin::Zone(zone.clone()), now, at);
    crash_evidence::apply(router, now, at, Distance::Fleet, &sums.crash_evidence);
    pace_report::apply(router, at, &sums.paces);
    rate_report::apply(router, at, &sums.rates);
    rollout::apply_sums(router, now, at, &zone, &sums.rollouts);
    apply_member_reports(router, &zone, at, &sums.members);
}

impl Figures<'_> {
    /// Records the figures of an origin, which were made at `at`.
    fn apply(&self, core: &mut Core, origin: &Origin, now: Duration, at: Duration) {
        self.apply_loads(core, origin, now, at);
        self.apply_use(core, origin, at);
        self.apply_limits(core);
    }

    fn apply_loads(&self, core: &mut Core, origin: &Origin, now: Duration, at: Duration) {
        let loads: IndexMap<Digest, &RunnerLoad> =
            self.loads.iter().map(|load| (load.runner, load)).collect();
        for runner in core.registry.iter_mut() {
            let digest = Digest::of_runner(runner);
            for placed in self.placed.iter().filter(|placed| placed.runner == digest) {
                runner.prefix_cache.record_sent_by_peer(placed.part, now);
            }
            let load = loads.get(&digest).map_or_else(Load::default, |load| Load {
                running: load.running,
                backlog: load.backlog,
                memory: load.memory,
            });
            runner.peer_loads.put(origin, at, load);
            runner.peer_loads.remove_expired(now);
        }
    }

    fn apply_use(&self, core: &mut Core, origin: &Origin, at: Duration) {
        let mut works: IndexMap<Digest, Work> = IndexMap::new();
        for used in self.used {
            works.entry(used.workspace).or_default().used = used.work;
        }
        for Shortage { workspace, contended, unmet } in self.shortage {
            let work = works.entry(*workspace).or_default();
            (work.contended, work.unmet) = (*contended, *unmet);
        }
        let keyless = Name::new(balance::KEYLESS);
        let names = core.table.iter().flat_map(balance::Table::workspaces).chain([&keyless]);
        let works = names.filter_map(|name| {
            let work = works.get(&Digest::of(name.as_str())).copied()?;
            Some((name.clone(), work))
        });
        let works = works.collect();
        core.usage.put(origin, at, self.routers, works);
    }

    fn apply_limits(&self, core: &mut Core) {
        let services: Vec<Name> =
            core.service_loads().map(|(service, ..)| service.clone()).collect();
        for service in services {
            let digest = Digest::of(service.as_str());
            if let Some(limits) = self.limits.iter().find(|limits| limits.service == digest) {
                let load_limits = LoadLimits { backlog: limits.backlog, running: limits.running };
                core.record_peer_limits(&service, load_limits, self.routers);
            }
        }
    }
}

fn loads(core: &Core, load_of: impl Fn(&Runner) -> Load) -> Vec<RunnerLoad> {
    let loaded = core.registry.iter().filter_map(|(_, runner)| {
        let load = load_of(runner);
        (load != Load::default()).then(|| RunnerLoad {
            runner: Digest::of_runner(runner),
            running: load.running,
            backlog: load.backlog,
            memory: load.memory,
        })
    });
    loaded.collect()
}

fn workspace_use<'a>(works: impl Iterator<Item = (&'a Name, Work)>) -> Vec<WorkspaceUse> {
    let used = works.filter(|(_, work)| work.used > 0);
    let used = used.map(|(workspace, work)| WorkspaceUse {
        workspace: Digest::of(workspace.as_str()),
        work: work.used,
    });
    used.collect()
}

fn shortage<'a>(works: impl Iterator<Item = (&'a Name, Work)>) -> Vec<Shortage> {
    let short = works.filter(|(_, work)| work.contended > 0 || work.unmet > 0);
    let short = short.map(|(workspace, work)| Shortage {
        workspace: Digest::of(workspace.as_str()),
        contended: work.contended,
        unmet: work.unmet,
    });
    short.collect()
}

fn member_reports(router: &Router, now: Duration, incarnation: u64) -> Vec<MemberReport> {
    let own = MemberReport {
        name: Digest::of(router.settings.name.as_str()),
        incarnation: low_half(incarnation),
        age_ms: 0,
        is_ready: router.is_ready(),
        is_current: !router.is_revocation_unknown(),
        requests: router.recent_requests(),
    };
    let members = router.members.borrow();
    let of_zone = members.direct(&router.settings.zone).filter(|member| member.is_alive(now));
    let others = of_zone.filter_map(|member| {
        let contact = member.last_contact.filter(|_| member.identity.zone.is_some())?;
        Some(MemberReport {
            name: Digest::of(member.identity.name.as_str()),
            incarnation: low_half(member.identity.incarnation),
            age_ms: exchange::age_ms(now, contact),
            is_ready: member.status.is_ready,
            is_current: member.status.is_current,
            requests: member.status.requests,
        })
    });
    std::iter::once(own).chain(others).collect()
}

fn apply_member_reports(router: &Router, zone: &Name, at: Duration, reports: &[MemberReport]) {
    let by_name: IndexMap<Digest, &MemberReport> =
        reports.iter().map(|report| (report.name, report)).collect();
    let mut members = router.members.borrow_mut();
    let is_of_zone = |identity: &&Identity| identity.zone.as_ref() == Some(zone);
    let reported: Vec<(Name, u64, MemberReport)> = members
        .identities()
        .filter(is_of_zone)
        .filter_map(|identity| {
            let report = **by_name.get(&Digest::of(identity.name.as_str()))?;
            let is_same = report.incarnation == low_half(identity.incarnation);
            is_same.then(|| (identity.name.clone(), identity.incarnation, report))
        })
        .collect();
    if reported.len() < by_name.len() {
        router.strangers.record(router.now());
    }
    for (name, incarnation, report) in reported {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let status = MemberStatus {
            is_ready: report.is_ready,
            is_current: report.is_current,
            requests: report.requests,
            heard: 0,
            reaches_store: true,
        };
        members.record_report(at.saturating_sub(age), name.as_str(), incarnation, status);
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the low half tells incarnations apart")]
const fn low_half(incarnation: u64) -> u32 {
    incarnation as u32
}
