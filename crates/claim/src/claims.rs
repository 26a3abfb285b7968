//! The claims of a router: the table and the tasks that connect it to the platform's log.

use std::sync::Arc;
use std::time::Duration;

use plat::Error;
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::Answer;
use crate::Decision;
use crate::Refusal;
use crate::Request;
use crate::Scope;
use crate::Settings;
use crate::Status;
use crate::Ticket;
use crate::commit;
use crate::health::RETRY_AFTER;
use crate::state::Shared;
use crate::tail;

/// The claims of a router.
#[derive(Debug)]
pub struct Claims {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl Claims {
    /// Starts to read the claims of the window; once they are read, claims are accepted.
    #[must_use]
    pub fn start(settings: Settings, log: plat::Log) -> Self {
        let shared = Arc::new(Shared::new(settings, log));
        let mut tasks = JoinSet::new();
        tasks.spawn(tail::run(shared.clone()));
        tasks.spawn(commit::run(shared.clone()));
        Self { shared, tasks }
    }

    /// Claims a call, and returns a decision within the deadline.
    ///
    /// A claim is released if the deadline passes or the caller drops the future before there is a decision.
    pub async fn claim(&self, request: Request) -> Decision {
        let begun = self.shared.state().begin_claim(&request);
        let (id, receiver) = match begun {
            Ok(begun) => begun,
            Err(decision) => return decision,
        };
        let mut guard = AbandonGuard { shared: &self.shared, scope: request.scope(), id: Some(id) };
        self.shared.queued.notify_one();
        match tokio::time::timeout(self.shared.settings.deadline, receiver).await {
            Ok(Ok(decision)) => {
                guard.id = None;
                decision
            }
            Ok(Err(_)) | Err(_) => Decision::Refused(Refusal::LogDown { retry_after: RETRY_AFTER }),
        }
    }

    /// Records the outcome of a call that has run.
    ///
    /// # Errors
    /// Returns an error if the first append fails or exceeds the deadline. The outcome is then appended again in the
    /// background until it is written or the retention ends.
    pub async fn record(&self, ticket: &Ticket, answer: Answer) -> Result<(), Error> {
        let written = self.shared.state().record(ticket, answer);
        self.shared.queued.notify_one();
        match tokio::time::timeout(self.shared.settings.deadline, written).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Error::Lost),
        }
    }

    /// Releases the key of a call that has definitely not run, so that it can be claimed again.
    pub async fn release(&self, ticket: Ticket) {
        self.shared.state().release(ticket.scope, ticket.id);
        self.shared.queued.notify_one();
    }

    /// Returns whether claims are accepted, as far as recent calls of the log show.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.shared.state().is_healthy()
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        self.shared.state().status()
    }

    /// Refuses further claims, appends the queued entries within the deadline, and ends all tasks.
    pub async fn shutdown(mut self) {
        self.shared.state().stopping = true;
        let deadline = self.shared.settings.deadline;
        if tokio::time::timeout(deadline, self.wait_until_flushed()).await.is_err() {
            let left = self.shared.state().status().queued;
            log::warn!("claim: shutdown with {left} entries not written to the log");
        }
        self.tasks.shutdown().await;
    }

    async fn wait_until_flushed(&self) {
        loop {
            let append_finished = self.shared.append_finished.notified();
            if self.shared.state().status().queued == 0 {
                return;
            }
            tokio::time::timeout(Duration::from_millis(50), append_finished).await.ok();
        }
    }
}

/// A guard that abandons its claim when it is dropped before the decision is returned.
struct AbandonGuard<'a> {
    shared: &'a Shared,
    scope: Scope,
    id: Option<Uuid>,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.shared.state().abandon_claim(&self.scope, id);
            self.shared.queued.notify_one();
        }
    }
}
