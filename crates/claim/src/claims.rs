//! The claims of a router: the table, driven by the platform's log.

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
    /// Starts to read the claims of the window, and to take claims once that is done.
    #[must_use]
    pub fn start(settings: Settings, log: plat::Log) -> Self {
        let shared = Arc::new(Shared::new(settings, log));
        let mut tasks = JoinSet::new();
        tasks.spawn(tail::run(shared.clone()));
        tasks.spawn(commit::run(shared.clone()));
        Self { shared, tasks }
    }

    /// Claims a call, and returns within the deadline.
    ///
    /// A claim that is given up, by the deadline or since the caller stops waiting, is released.
    pub async fn claim(&self, request: Request) -> Decision {
        let begun = self.shared.state().begin(&request);
        let (id, waiting) = match begun {
            Ok(begun) => begun,
            Err(decision) => return decision,
        };
        let mut undecided =
            Undecided { shared: &self.shared, scope: request.scope(), id: Some(id) };
        self.shared.queued.notify_one();
        match tokio::time::timeout(self.shared.settings.deadline, waiting).await {
            Ok(Ok(decision)) => {
                undecided.id = None;
                decision
            }
            Ok(Err(_)) | Err(_) => Decision::Refused(Refusal::LogDown { retry_after: RETRY_AFTER }),
        }
    }

    /// Records the outcome of a call that has run.
    ///
    /// # Errors
    /// Returns an error when the first append fails or takes longer than the deadline. The outcome is then tried
    /// again in the background until it is written or the window ends.
    pub async fn record(&self, ticket: &Ticket, answer: Answer) -> Result<(), Error> {
        let written = self.shared.state().record(ticket, answer);
        self.shared.queued.notify_one();
        match tokio::time::timeout(self.shared.settings.deadline, written).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Error::Lost),
        }
    }

    /// Releases the key of a call that has not run for sure, so that it can be claimed again.
    pub async fn release(&self, ticket: Ticket) {
        self.shared.state().release(ticket.scope, ticket.id);
        self.shared.queued.notify_one();
    }

    /// Returns whether calls can be claimed now, as far as recent calls of the log tell.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.shared.state().is_healthy()
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        self.shared.state().status()
    }

    /// Takes no more claims, appends what waits within the deadline, and ends all tasks.
    pub async fn shutdown(mut self) {
        self.shared.state().stopping = true;
        let deadline = self.shared.settings.deadline;
        if tokio::time::timeout(deadline, self.flushed()).await.is_err() {
            let left = self.shared.state().status().queued;
            log::warn!("claim: {left} entries are not written at the end");
        }
        self.tasks.shutdown().await;
    }

    async fn flushed(&self) {
        loop {
            let settled = self.shared.settled.notified();
            if self.shared.state().status().queued == 0 {
                return;
            }
            tokio::time::timeout(Duration::from_millis(50), settled).await.ok();
        }
    }
}

/// A claim whose decision is not handed out yet. Dropping it gives the claim up.
struct Undecided<'a> {
    shared: &'a Shared,
    scope: Scope,
    id: Option<Uuid>,
}

impl Drop for Undecided<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.shared.state().abandon(&self.scope, id);
            self.shared.queued.notify_one();
        }
    }
}
