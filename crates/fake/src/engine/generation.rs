//! The generation of one answer, token by token.

use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;

use crate::engine::CRASH_MARK;
use crate::engine::Completion;
use crate::engine::state::Ticket;
use crate::engine::text;
use crate::journal;
use crate::reply::Abort;

/// How much slower a cold engine is.
const COLD_FACTOR: u32 = 5;
/// Slowdown by each further running request, in percent.
const BATCH_PERCENT: u32 = 3;

/// One token of an answer.
#[derive(Debug)]
pub(super) struct Token {
    pub(super) index: u32,
    pub(super) text: String,
}

/// An answer that is being generated; dropping it cancels it.
#[derive(Debug)]
pub(super) struct Generation {
    ticket: Ticket,
    permit: Option<OwnedSemaphorePermit>,
    digest: u64,
    crashes: bool,
    index: u32,
    end: u32,
    is_first: bool,
}

impl Generation {
    pub(super) fn new(ticket: Ticket, completion: &Completion, from: u32) -> Self {
        let digest = journal::digest(completion.prompt.as_bytes());
        let crashes = completion.prompt.contains(CRASH_MARK);
        let end = completion.max_tokens;
        Self { ticket, permit: None, digest, crashes, index: from, end, is_first: true }
    }

    /// Waits for a slot and starts to run.
    pub(super) async fn start(&mut self) -> Result<(), Abort> {
        let cancel = self.ticket.cancel().clone();
        let permit = tokio::select! {
            permit = self.ticket.slot() => permit.map_err(|_| Abort)?,
            () = cancel.cancelled() => return Err(Abort),
        };
        self.permit = Some(permit);
        self.ticket.start();
        if self.crashes {
            self.ticket.engine().fall();
            return Err(Abort);
        }
        Ok(())
    }

    /// Generates the next token, or nothing at the end.
    pub(super) async fn next(&mut self) -> Result<Option<Token>, Abort> {
        if self.index >= self.end {
            self.ticket.finish();
            return Ok(None);
        }
        let cancel = self.ticket.cancel().clone();
        tokio::select! {
            () = tokio::time::sleep(self.pace()) => {}
            () = cancel.cancelled() => return Err(Abort),
        }
        let token = Token { index: self.index, text: text::at(self.digest, self.index) };
        self.index += 1;
        self.is_first = false;
        self.ticket.count_token();
        Ok(Some(token))
    }

    fn pace(&self) -> Duration {
        let engine = self.ticket.engine();
        let settings = engine.settings();
        let base = if self.is_first { settings.first_token } else { settings.token_interval };
        let others = engine.running().saturating_sub(1);
        let batched = base * (100 + BATCH_PERCENT * others) / 100;
        if engine.is_cold() { batched * COLD_FACTOR } else { batched }
    }
}
