//! Brings a call to a step and injects the fault there.

use std::time::Duration;

use base::EventKind;
use base::RequestId;
use error_stack::Report;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use crate::Call;
use crate::Change;
use crate::Error;
use crate::Faults;
use crate::matrix::Fault;
use crate::matrix::Kind;
use crate::matrix::Step;
use crate::matrix::cell_run::CellRun;
use crate::matrix::roles::POLL_INTERVAL;
use crate::matrix::roles::Roles;
use crate::matrix::testbed::FILLER_WORKSPACE;
use crate::matrix::testbed::PROBE_WORKSPACE;

/// The timeout for a call to arrive at its step.
const STEP_TIMEOUT: Duration = Duration::from_secs(8);
/// The delay of links that keeps a grant in transit, in milliseconds.
const STEP_LINK_DELAY_MS: u64 = 400;
/// The delay of log reads that keeps a claim from being read back, in milliseconds.
const STEP_READ_DELAY_MS: u64 = 700;
/// The delay of the log that keeps an outcome from being recorded, in milliseconds.
const STEP_LOG_DELAY_MS: u64 = 1_000;
/// The delay of links as a fault, in milliseconds.
const FAULT_LINK_DELAY_MS: u64 = 250;
/// The delay of the log as a fault, in milliseconds.
const FAULT_LOG_DELAY_MS: u64 = 800;
/// The number of waiting calls that shows that a dispatcher has no free slot.
const FULL_BACKLOG: usize = 4;
/// The number of calls that occupy all slots of a service and form a queue.
const FILLER_CALLS: usize = 12;
/// The number of tokens of a model call that occupies a slot.
const FILLER_TOKENS: u32 = 300;
/// The number of generated tokens after which an answer counts as streaming.
const STREAMING_TOKENS: u64 = 8;

#[derive(Deserialize)]
struct Counters {
    appends: u64,
}

impl CellRun<'_> {
    /// Prepares the fleet so that the call stays at the step.
    pub(super) async fn prepare_step(&mut self) -> Result<(), Report<Error>> {
        self.known_requests = self.accepted_requests().await?;
        self.initial_appends = self.count_appends().await?;
        match self.cell.step {
            Step::Accepted => self.testbed.fleet.pause(self.roles.dispatcher),
            Step::Queued => self.occupy_slots().await,
            Step::Granted => self.delay_links(STEP_LINK_DELAY_MS).await,
            Step::Claimed => self.delay_reads(STEP_READ_DELAY_MS).await,
            _ => Ok(()),
        }
    }

    /// Waits until the call has arrived at the step.
    pub(super) async fn wait_for_step(&mut self) -> Result<(), Report<Error>> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !self.is_at_step().await? {
            if Instant::now() >= deadline {
                let what = format!("step {}", self.cell.step);
                return Err(Report::new(Error::Timeout(what)));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if self.cell.step != Step::Finished {
            return Ok(());
        }
        if self.cell.kind == Kind::Once {
            self.delay_log(STEP_LOG_DELAY_MS).await?;
        }
        self.answer = Some(self.take_answer().await?);
        Ok(())
    }

    async fn is_at_step(&mut self) -> Result<bool, Report<Error>> {
        let Roles { entry, dispatcher, .. } = self.roles;
        if self.request.is_none() {
            let known = &self.known_requests;
            let new =
                self.accepted_requests().await?.into_iter().find(|found| !known.contains(found));
            self.request = new;
        }
        if self.request.is_none() {
            return Ok(false);
        }
        match self.cell.step {
            Step::Accepted => Ok(true),
            Step::Queued => {
                let is_granted = self.has_event(dispatcher, EventKind::Granted).await?;
                Ok(!is_granted && self.has_event(dispatcher, EventKind::Queued).await?)
            }
            Step::Granted => self.has_event(dispatcher, EventKind::Granted).await,
            Step::Claimed => Ok(self.count_appends().await? > self.initial_appends),
            Step::Sent | Step::Finished => Ok(self.runner_of_call().await?.is_some()),
            Step::FirstByte => self.has_event(entry, EventKind::FirstByte).await,
            Step::Streaming => {
                let runner = self.runner_of_call().await?;
                Ok(runner.is_some_and(|runner| runner.tokens >= STREAMING_TOKENS))
            }
            Step::Recorded => self.has_event(entry, EventKind::Recorded).await,
        }
    }

    /// Injects the fault.
    pub(super) async fn inject_fault(&mut self) -> Result<(), Report<Error>> {
        let Roles { entry, dispatcher, .. } = self.roles;
        let cut = Change { cut: Some(true), ..Change::default() };
        let silent = Change { stall: Some(true), ..Change::default() };
        let service = self.cell.kind.service();
        match self.cell.fault {
            Fault::KillEntry => self.testbed.fleet.kill(entry),
            Fault::KillDispatcher => self.testbed.fleet.kill(dispatcher),
            Fault::PauseEntry => self.testbed.fleet.pause(entry)?,
            Fault::PauseDispatcher => self.testbed.fleet.pause(dispatcher)?,
            Fault::Cut => self.change_links(cut).await?,
            Fault::OneWayCut => self.cut_one_way().await?,
            Fault::Delay => self.delay_links(FAULT_LINK_DELAY_MS).await?,
            Fault::SilentRouters => self.change_links(silent).await?,
            Fault::SilentRunner => {
                let links = format!("run:{service}-");
                self.testbed.fleet.network()?.change(&links, silent).await?;
            }
            Fault::RunnerCrash => self.crash_runner().await?,
            Fault::RunnerCold => self.control_runner("cold").await?,
            Fault::LogDown => {
                let down = Faults { log_down: Some(true), ..Faults::default() };
                self.testbed.set_platform_faults(down).await?;
            }
            Fault::LogSlow => self.delay_log(FAULT_LOG_DELAY_MS).await?,
            Fault::LostAnswer => {
                let lose = Faults { lose_answers: Some(1), ..Faults::default() };
                self.testbed.set_platform_faults(lose).await?;
            }
            Fault::EmptyRestart => self.testbed.fleet.restart(entry)?,
        }
        Ok(())
    }

    /// Removes the hold at the step, unless the fault uses the same means.
    pub(super) async fn release_step(&mut self) -> Result<(), Report<Error>> {
        self.filler_calls.shutdown().await;
        match (self.cell.step, self.cell.fault) {
            (Step::Accepted, Fault::PauseDispatcher | Fault::KillDispatcher)
            | (Step::Granted, Fault::Delay)
            | (Step::Finished, Fault::LogSlow) => Ok(()),
            (Step::Accepted, _) => self.testbed.fleet.resume(self.roles.dispatcher),
            (Step::Granted, _) => self.delay_links(0).await,
            (Step::Claimed, _) => self.delay_reads(0).await,
            (Step::Finished, _) => self.delay_log(0).await,
            _ => Ok(()),
        }
    }

    async fn crash_runner(&self) -> Result<(), Report<Error>> {
        match self.cell.kind {
            Kind::Model => self.control_runner("crash").await,
            Kind::Once => self.control_runner("fall").await,
        }
    }

    /// Sends a control request to the runner of the call, or to one that could receive it.
    async fn control_runner(&self, request: &str) -> Result<(), Report<Error>> {
        let service = self.cell.kind.service();
        let any = format!("{service}-{}", 1 + self.cell.seed % 2);
        let name = self.runner_of_call().await?.map_or(any, |runner| runner.name);
        let runner = self.testbed.fleet.runners().get(&name);
        let runner = runner.ok_or_else(|| Report::new(Error::Unknown(name.clone())))?;
        runner.control(request, &json!({})).await.map(|_| ())
    }

    /// Occupies all slots of the service with calls at the third router.
    async fn occupy_slots(&mut self) -> Result<(), Report<Error>> {
        let (kind, roles) = (self.cell.kind, self.roles);
        // The dispatcher may reserve a slot for an idle workspace, so both workspaces send calls.
        let workspaces = [FILLER_WORKSPACE, PROBE_WORKSPACE].into_iter().cycle();
        for workspace in workspaces.take(FILLER_CALLS) {
            let text = self.testbed.unique_text("filler");
            let call = match kind {
                Kind::Model => Call::completion(kind.service(), &text, FILLER_TOKENS),
                Kind::Once => Call::lookup(kind.service(), "/routes/17"),
            };
            let caller = self.testbed.fleet.caller_of(workspace, roles.other);
            self.filler_calls.spawn(async move { caller.call(&call).await });
        }
        let deadline = Instant::now() + STEP_TIMEOUT;
        while self.testbed.backlog(roles.dispatcher, kind.service()).await? < FULL_BACKLOG {
            if Instant::now() >= deadline {
                return Err(Report::new(Error::Timeout("occupied slots".to_owned())));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the requests of the workspace under test that the entry has accepted.
    async fn accepted_requests(&self) -> Result<Vec<RequestId>, Report<Error>> {
        let events = self.testbed.events(self.roles.entry).await?;
        let is_under_test = |event: &base::Event| {
            let workspace = event.workspace.as_ref().map(base::Name::as_str);
            event.kind == EventKind::Accepted && workspace == Some(PROBE_WORKSPACE)
        };
        Ok(events.into_iter().filter(is_under_test).filter_map(|event| event.request).collect())
    }

    async fn has_event(&self, router: usize, kind: EventKind) -> Result<bool, Report<Error>> {
        let events = self.testbed.events(router).await?;
        Ok(events.iter().any(|event| event.kind == kind && event.request == self.request))
    }

    async fn count_appends(&self) -> Result<u64, Report<Error>> {
        let counters: Counters = self.testbed.fleet.platform().get("/control/counters").await?;
        Ok(counters.appends)
    }

    async fn delay_links(&self, delay_ms: u64) -> Result<(), Report<Error>> {
        self.change_links(Change { delay_ms: Some(delay_ms), ..Change::default() }).await
    }

    async fn delay_reads(&self, delay_ms: u64) -> Result<(), Report<Error>> {
        let faults = Faults { read_delay_ms: Some(delay_ms), ..Faults::default() };
        self.testbed.set_platform_faults(faults).await
    }

    async fn delay_log(&self, delay_ms: u64) -> Result<(), Report<Error>> {
        let faults = Faults { log_delay_ms: Some(delay_ms), ..Faults::default() };
        self.testbed.set_platform_faults(faults).await
    }

    /// Changes both links between entry and dispatcher.
    async fn change_links(&self, change: Change) -> Result<(), Report<Error>> {
        let Roles { entry, dispatcher, .. } = self.roles;
        for (from, to) in [(entry, dispatcher), (dispatcher, entry)] {
            self.testbed.fleet.network()?.change_link(&self.link(from, to), change).await?;
        }
        Ok(())
    }

    /// Drops packets from the entry to the dispatcher on both links, whichever router opened the connection.
    async fn cut_one_way(&self) -> Result<(), Report<Error>> {
        let Roles { entry, dispatcher, .. } = self.roles;
        let network = self.testbed.fleet.network()?;
        let to = Change { cut_to_target: Some(true), ..Change::default() };
        let back = Change { cut_to_client: Some(true), ..Change::default() };
        network.change_link(&self.link(entry, dispatcher), to).await?;
        network.change_link(&self.link(dispatcher, entry), back).await
    }

    fn link(&self, from: usize, to: usize) -> String {
        let name = |router: usize| self.testbed.fleet.router(router).name();
        format!("peer:{}:{}", name(from), name(to))
    }
}
