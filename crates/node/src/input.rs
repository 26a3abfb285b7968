//! What reaches the control thread from its helpers.

use std::net::SocketAddr;

use base::Name;
use plat::Listing;
use wire::Shard;

use crate::control::fence::Answer;

/// A message from a background task to the control state.
#[derive(Debug)]
pub(crate) enum Input {
    /// The platform's instance list.
    Instances(Listing),
    /// A record of the configuration stream.
    Config {
        /// Its offset in the log.
        offset: u64,
        /// Its text.
        body: String,
    },
    /// The configuration stream no longer holds its oldest records.
    ConfigTrimmed,
    /// A record of the placement stream.
    Placement {
        /// Its text.
        body: String,
    },
    /// Whether the platform's log answers.
    Log {
        /// Whether it does.
        up: bool,
    },
    /// The load report of a runner; none when the runner did not answer.
    Load {
        /// The shard of the runner.
        shard: Shard,
        /// The runner.
        runner: Name,
        /// The report.
        load: Option<sched::Load>,
    },
    /// News for the orders to the runners of a shard.
    Fence {
        /// The shard.
        shard: Shard,
        /// The news.
        answer: Box<Answer>,
    },
    /// The append of a configuration has ended.
    Appended {
        /// Which one, as numbered by the control state.
        append_id: u64,
        /// Its offset, or why there is none.
        result: Result<u64, plat::Error>,
    },
    /// A configuration was published again; none when the log did not take it.
    Republished {
        /// The number of its version.
        number: Option<u64>,
    },
    /// The log has an operator's order of this router.
    OrderStored(wire::Placed),
    /// This router begins to leave.
    Leave,
    /// The control thread ends.
    Stop,
}

/// A runner whose load is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Target {
    /// The shard of the runner.
    pub(crate) shard: Shard,
    /// The runner.
    pub(crate) runner: Name,
    /// Its address.
    pub(crate) address: SocketAddr,
}
