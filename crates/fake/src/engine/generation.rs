//! The generation of one answer, token by token.

use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;

use crate::engine::CRASH_MARKER;
use crate::engine::Completion;
use crate::engine::state::RequestGuard;
use crate::engine::text;
use crate::journal;
use crate::reply::Abort;

/// The factor by which a cold engine is slower.
const COLD_SLOWDOWN_FACTOR: u32 = 5;
/// The slowdown by each further running request, in percent.
const BATCH_SLOWDOWN_PERCENT: u32 = 3;

/// One token of an answer.
#[derive(Debug)]
pub(super) struct Token {
    pub(super) index: u32,
    pub(super) text: String,
}

/// An answer that is being generated; dropping it cancels it.
#[derive(Debug)]
pub(super) struct Generation {
    guard: RequestGuard,
    permit: Option<OwnedSemaphorePermit>,
    digest: u64,
    crashes: bool,
    index: u32,
    end: u32,
    is_first: bool,
}

impl Generation {
    pub(super) fn new(guard: RequestGuard, completion: &Completion, from: u32) -> Self {
        let digest = journal::digest(completion.prompt.as_bytes());
        let crashes = completion.prompt.contains(CRASH_MARKER);
        let end = completion.max_tokens;
        Self { guard, permit: None, digest, crashes, index: from, end, is_first: true }
    }

    /// Waits for a slot and starts the generation.
    pub(super) async fn start(&mut self) -> Result<(), Abort> {
        let cancel = self.guard.cancel().clone();
        let permit = tokio::select! {
            permit = self.guard.slot() => permit.map_err(|_| Abort)?,
            () = cancel.cancelled() => return Err(Abort),
        };
        self.permit = Some(permit);
        self.guard.start();
        if self.crashes {
            self.guard.engine().crash();
            return Err(Abort);
        }
        Ok(())
    }

    /// Generates the next token, or returns `None` at the end of the answer.
    pub(super) async fn next(&mut self) -> Result<Option<Token>, Abort> {
        if self.index >= self.end {
            self.guard.finish();
            return Ok(None);
        }
        let cancel = self.guard.cancel().clone();
        tokio::select! {
            () = tokio::time::sleep(self.token_delay()) => {}
            () = cancel.cancelled() => return Err(Abort),
        }
        let token =
            Token { index: self.index, text: text::token_of_digest(self.digest, self.index) };
        self.index += 1;
        self.is_first = false;
        self.guard.count_token();
        Ok(Some(token))
    }

    fn token_delay(&self) -> Duration {
        let engine = self.guard.engine();
        let settings = engine.settings();
        let base = if self.is_first { settings.first_token_delay } else { settings.token_interval };
        let others = engine.running().saturating_sub(1);
        let batched = base * (100 + BATCH_SLOWDOWN_PERCENT * others) / 100;
        if engine.is_cold() { batched * COLD_SLOWDOWN_FACTOR } else { batched }
    }
}
