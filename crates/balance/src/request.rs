//! A request for a runner, as far as decisions depend on it.

use std::time::Duration;

use base::Name;

use crate::Kind;

/// The name under which routers count the work at engines of requests without a key.
pub const KEYLESS: &str = "";

/// One part of a prompt, shared by all requests that name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The identifier of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The prompt of a request to a model engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The number of tokens in the entire prompt.
    pub input: u64,
    /// The maximum number of tokens that may be generated.
    pub output: u64,
    /// The number of tokens that the caller expects to be generated; often inaccurate.
    pub expected: Option<u64>,
    /// The parts of the prompt, in order; requests of other sessions share all but the last.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the parts that requests of other sessions share: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the identifier of the last part that requests of other sessions share, or of the only part; zero if there
    /// is none.
    #[must_use]
    pub fn affinity(&self) -> u64 {
        self.shared_parts().last().or(self.parts.first()).map_or(0, |part| part.id)
    }

    /// Returns the estimated number of generated tokens: the expected number, or else a third of the maximum.
    #[must_use]
    pub fn likely_output(&self) -> u64 {
        self.expected.map_or(self.output / 3, |expected| expected.min(self.output))
    }

    /// Returns the work in tokens: each prompt token counts once and each generated token twice.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.input + 2 * self.likely_output()
    }

    /// Returns the number of tokens in the parts that requests of other sessions share.
    #[must_use]
    pub fn shared(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

/// A request for a runner.
#[derive(Debug, Clone)]
pub struct Request {
    /// The service.
    pub service: Name,
    /// The workspace that is charged, if the route needs a key.
    pub workspace: Option<Name>,
    /// Whether the request may be repeated, and how it is answered.
    pub kind: Kind,
    /// The priority, 0 for the most urgent.
    pub priority: u32,
    /// The prompt, for a model engine.
    pub prompt: Option<Prompt>,
    /// The time of arrival.
    pub arrived: Duration,
    /// The latest time at which an answer has its full benefit.
    pub target: Duration,
    /// The time at which the caller stops waiting.
    pub deadline: Duration,
    /// Runners that must not be chosen because an attempt there failed.
    pub avoid: Vec<crate::Key>,
}

impl Request {
    /// Returns the work that is charged to the workspace, in tokens; a request without a prompt counts as one.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.prompt.as_ref().map_or(1, Prompt::work)
    }

    /// Returns the workspace to which work at engines is charged; requests without a key have one in common, which has no
    /// name.
    #[must_use]
    pub fn payer(&self) -> Option<Name> {
        let keyless = self.prompt.is_some().then(|| Name::new(KEYLESS));
        self.workspace.clone().or(keyless)
    }

    /// Returns the memory that the request occupies in an engine, in tokens.
    #[must_use]
    pub fn memory(&self) -> u64 {
        self.prompt.as_ref().map_or(0, |prompt| prompt.input + prompt.likely_output())
    }
}
