//! A simulation of one dispatcher and one entry, whose requests run for given times and costs.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::time::Duration;

use base::Class;
use base::Cost;
use base::Name;
use base::RequestId;
use indexmap::IndexMap;
use sched::Action;
use sched::Dispatcher;
use sched::Plan;
use wire::Done;
use wire::Enqueue;
use wire::Frame;
use wire::Outcome;
use wire::Resync;
use wire::Totals;
use wire::Usage;

use super::ms;
use super::name;
use super::request;
use super::shard;
use super::term;

pub const STEP: Duration = ms(50);

/// A request that is submitted at a given time.
#[derive(Debug, Clone)]
pub struct Job {
    pub workspace: usize,
    pub class: Class,
    pub at: Duration,
    pub lasts: Duration,
    pub cost: Cost,
}

#[derive(Debug, Clone)]
struct Running {
    enqueue: Enqueue,
    runner: Name,
    started: Duration,
    reported: Cost,
    job: Job,
}

pub struct Simulation {
    pub dispatcher: Dispatcher,
    pub now: Duration,
    pub waits: IndexMap<RequestId, (Class, Duration)>,
    /// The work used by each workspace.
    pub used: IndexMap<Name, Cost>,
    plan: Plan,
    terms: u64,
    waiting: IndexMap<RequestId, (Enqueue, Job)>,
    running: IndexMap<RequestId, Running>,
    jobs: Vec<Job>,
    next: u128,
    totals: Option<Totals>,
    usage_period: Duration,
}

impl Job {
    fn used(&self, since: Duration) -> Cost {
        let elapsed = since.min(self.lasts).as_millis() as u64;
        Cost(self.cost.0 * elapsed / self.lasts.as_millis().max(1) as u64)
    }
}

impl Simulation {
    pub fn new(plan: Plan, mut jobs: Vec<Job>, usage_period: Duration) -> Self {
        jobs.sort_by_key(|job| std::cmp::Reverse(job.at));
        Self {
            dispatcher: super::ready(plan.clone()),
            now: ms(0),
            waits: IndexMap::new(),
            used: IndexMap::new(),
            plan,
            terms: 1,
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            jobs,
            next: 1,
            totals: None,
            usage_period,
        }
    }

    pub fn waiting(&self) -> impl Iterator<Item = &Enqueue> {
        self.waiting.values().map(|(enqueue, _)| enqueue)
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.finish();
        self.report();
        while self.jobs.last().is_some_and(|job| job.at <= self.now) {
            let job = self.jobs.pop().expect("it was found before");
            self.submit(job);
        }
        self.poll();
    }

    fn submit(&mut self, job: Job) {
        let workspace = self.plan.workspaces[job.workspace].name.clone();
        let mut enqueue = request(self.next, workspace.as_str(), job.class);
        enqueue.max_wait_ms = u32::MAX / 4;
        enqueue.hint = Cost::tokens(8);
        self.next += 1;
        self.waiting.insert(enqueue.request, (enqueue.clone(), job));
        self.dispatcher.handle_frame(&name("r1"), &Frame::Enqueue(enqueue), self.now);
    }

    fn finish(&mut self) {
        let now = self.now;
        let is_over = |running: &Running| now >= running.started + running.job.lasts;
        let ended: Vec<RequestId> =
            self.running.iter().filter(|(_, run)| is_over(run)).map(|(id, _)| *id).collect();
        for id in ended {
            let running = self.running.shift_remove(&id).expect("it was found before");
            *self.used.entry(running.enqueue.workspace.clone()).or_default() += running.job.cost;
            let done = Done {
                shard: shard(),
                request: id,
                attempt: 1,
                used: running.job.cost,
                outcome: Outcome::Answered,
                first_token_ms: None,
            };
            self.dispatcher.handle_frame(&name("r1"), &Frame::Done(done), now);
        }
    }

    fn report(&mut self) {
        if !self.now.as_millis().is_multiple_of(self.usage_period.as_millis()) {
            return;
        }
        let now = self.now;
        let usage = |(id, run): (&RequestId, &mut Running)| {
            run.reported = run.job.used(now - run.started);
            Usage { shard: shard(), request: *id, used: run.reported }
        };
        let usages = self.running.iter_mut().map(usage).collect();
        self.dispatcher.handle_frame(&name("r1"), &Frame::Usage(usages), self.now);
    }

    pub fn poll(&mut self) {
        for action in self.dispatcher.poll(self.now) {
            let Action::Send { frame, .. } = action else { continue };
            match frame {
                Frame::Grant(grant) => {
                    let granted = self.waiting.shift_remove(&grant.request);
                    let Some((enqueue, job)) = granted else { continue };
                    self.waits.insert(grant.request, (job.class, self.now - job.at));
                    let started = self.now;
                    let running = Running {
                        enqueue,
                        runner: grant.runner,
                        started,
                        reported: Cost::ZERO,
                        job,
                    };
                    self.running.insert(grant.request, running);
                }
                Frame::Totals(totals) => self.totals = Some(totals),
                _ => {}
            }
        }
    }

    /// Replaces the dispatcher by a new one, which gets its state from the entry and the successor.
    pub fn replace_dispatcher(&mut self) {
        self.terms += 1;
        let me = name("r1");
        let term = term(self.terms);
        let (plan, now) = (self.plan.clone(), self.now);
        let members = vec![me.clone(), name("r2")];
        self.dispatcher = Dispatcher::new(plan, me.clone(), term, members, 2, now);
        let running = self.running.iter().map(|(id, run)| wire::Running {
            request: *id,
            attempt: 1,
            workspace: run.enqueue.workspace.clone(),
            class: run.enqueue.class,
            runner: run.runner.clone(),
            used: run.reported,
        });
        let resync = Resync {
            shard: shard(),
            term,
            waiting: self.waiting.values().map(|(enqueue, _)| enqueue.clone()).collect(),
            running: running.collect(),
            totals: None,
        };
        let successor = Resync {
            waiting: Vec::new(),
            running: Vec::new(),
            totals: self.totals.clone(),
            ..resync.clone()
        };
        self.dispatcher.handle_frame(&name("r2"), &Frame::Resync(successor), now);
        self.dispatcher.handle_frame(&me, &Frame::Resync(resync), now);
        self.poll();
    }
}
