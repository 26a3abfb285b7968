//! Routers that share runners, some of which requests crash, with a late exchange of what the routers have seen.

use std::time::Duration;

use balance::Admission;
use balance::Cause;
use balance::CrashHistory;
use balance::Distance;
use balance::Evidence;
use base::Name;
use indexmap::IndexMap;

/// The length of one step.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// The time from the arrival of a request to the first data of its answer.
const FIRST_DATA: Duration = Duration::from_millis(300);
/// The time since the first data after which an answer counts as sound.
const SOUND_AFTER: Duration = Duration::from_millis(250);
/// The time from the arrival of a request to the end of its answer.
const RUN_TIME: Duration = Duration::from_millis(2_000);
/// The time for which a runner is down.
const DOWN_TIME: Duration = Duration::from_millis(3_000);
/// The interval between two reports of a router.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The time that a report takes.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// A request that runs.
#[derive(Debug, Clone)]
struct Running {
    router: usize,
    runner: usize,
    causes: Vec<Cause>,
    is_crashing: bool,
    since: Duration,
    is_sound: bool,
}

#[derive(Debug, Clone, Default)]
struct Runner {
    incarnation: u32,
    down_until: Duration,
}

/// What has happened to requests.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    /// The times at which requests that crash runners were sent.
    pub(crate) crashing_sent: Vec<Duration>,
    /// The times at which they have crashed runners.
    pub(crate) crashes: Vec<Duration>,
    /// The times at which sound requests were admitted.
    pub(crate) admitted: Vec<Duration>,
    /// The times at which sound requests were refused.
    pub(crate) refused: Vec<Duration>,
}

/// The routers and runners.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) outcomes: Outcomes,
    names: Vec<Name>,
    histories: Vec<CrashHistory>,
    runners: Vec<Runner>,
    running: Vec<Running>,
    reports: Vec<(Duration, usize, Vec<Evidence>)>,
}

impl Fleet {
    pub(crate) fn new(routers: usize, runners: usize) -> Self {
        let runner = |incarnation| Runner { incarnation, down_until: Duration::ZERO };
        Self {
            now: Duration::from_secs(60),
            outcomes: Outcomes::default(),
            names: (0..routers).map(|number| Name::new(&format!("router-{number}"))).collect(),
            histories: vec![CrashHistory::default(); routers],
            runners: (0..).take(runners).map(runner).collect(),
            running: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Sends a request to a runner unless its router refuses it or the runner is down.
    pub(crate) fn send(
        &mut self,
        router: usize,
        runner: usize,
        causes: Vec<Cause>,
        is_crashing: bool,
    ) {
        let name = &self.names[router];
        let peers: Vec<Name> = self.names.iter().filter(|peer| *peer != name).cloned().collect();
        let admission = self.histories[router].admit(self.now, &causes, name, Some(&peers));
        let is_refused = matches!(admission, Admission::Refused { .. });
        if !is_crashing {
            let outcomes = &mut self.outcomes;
            let list = if is_refused { &mut outcomes.refused } else { &mut outcomes.admitted };
            list.push(self.now);
        }
        if is_refused || self.now < self.runners[runner].down_until {
            return;
        }
        if is_crashing {
            self.outcomes.crashing_sent.push(self.now);
        }
        let since = self.now;
        self.running.push(Running { router, runner, causes, is_crashing, since, is_sound: false });
    }

    /// Ends a runner with all that runs on it.
    pub(crate) fn kill(&mut self, runner: usize) {
        if self.now < self.runners[runner].down_until {
            return;
        }
        let incarnation = self.runners[runner].incarnation;
        let (broken, running) =
            std::mem::take(&mut self.running).into_iter().partition(|call| call.runner == runner);
        self.running = running;
        let broken: Vec<Running> = broken;
        for call in broken.iter().filter(|call| !call.is_sound) {
            self.histories[call.router].record_crash(self.now, incarnation, &call.causes);
        }
        self.runners[runner] =
            Runner { incarnation: incarnation + 1_000, down_until: self.now + DOWN_TIME };
    }

    /// Advances by one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.crash();
        self.answer();
        self.exchange();
    }

    fn crash(&mut self) {
        let due = self.running.iter().filter(|call| call.is_crashing);
        let due = due.filter(|call| self.now >= call.since + FIRST_DATA);
        let runners: Vec<usize> = due.map(|call| call.runner).collect();
        for runner in runners {
            if self.now >= self.runners[runner].down_until {
                self.outcomes.crashes.push(self.now);
            }
            self.kill(runner);
        }
    }

    fn answer(&mut self) {
        let now = self.now;
        for call in &mut self.running {
            if !call.is_sound && now >= call.since + FIRST_DATA + SOUND_AFTER {
                call.is_sound = true;
                self.histories[call.router].record_answer(now, &call.causes);
            }
        }
        self.running.retain(|call| now < call.since + RUN_TIME);
    }

    fn exchange(&mut self) {
        let now = self.now;
        let is_due = now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis());
        for (router, history) in self.histories.iter_mut().enumerate().filter(|_| is_due) {
            self.reports.push((now + REPORT_DELAY, router, history.own_evidence(now)));
        }
        let due: Vec<_> = self.reports.extract_if(.., |(due, ..)| now >= *due).collect();
        for (_, sender, report) in due {
            let others = self.histories.iter_mut().enumerate();
            for (_, history) in others.filter(|(router, _)| *router != sender) {
                for evidence in &report {
                    history.record_evidence(now, Distance::Zone, evidence);
                }
            }
        }
    }
}

/// Returns the number of times after another one.
pub(crate) fn count_after(times: &[Duration], after: Duration) -> usize {
    times.iter().filter(|time| **time > after).count()
}

/// Popular parts of prompts, each with parts that only some of its requests hold.
pub(crate) fn parts(popular: u64, rare: u64) -> IndexMap<u64, Vec<u64>> {
    (0..popular)
        .map(|part| (part, (0..rare).map(|own| 1_000 + part * rare + own).collect()))
        .collect()
}
