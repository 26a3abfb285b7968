//! Messages from background tasks to the control thread.

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
    /// A record of the configuration log stream.
    Config {
        /// The offset of the record in the log.
        offset: u64,
        /// The text of the record.
        body: String,
    },
    /// The log has trimmed the oldest records of the configuration stream.
    ConfigTrimmed,
    /// A record of the placement log stream.
    Placement {
        /// The text of the record.
        body: String,
    },
    /// The availability of the platform's log.
    Log {
        /// Whether the log answers.
        up: bool,
    },
    /// The load report of a runner; `None` when the runner did not answer.
    Load {
        /// The shard of the runner.
        shard: Shard,
        /// The runner.
        runner: Name,
        /// The report.
        load: Option<sched::Load>,
    },
    /// A result for the order lease of a shard.
    LeaseAnswer {
        /// The shard.
        shard: Shard,
        /// The result.
        answer: Box<Answer>,
    },
    /// The result of appending a configuration to the log.
    Appended {
        /// The number that the control state gave the append.
        append_id: u64,
        /// The offset of the record, or the error.
        result: Result<u64, plat::Error>,
    },
    /// The result of republishing the configuration and the placement orders.
    Republished {
        /// The version number of the configuration; `None` when an append failed.
        number: Option<u64>,
    },
    /// A placement order that this router accepted from an operator is stored in the log.
    OrderStored(wire::PlacementOrder),
    /// Starts to leave the fleet.
    Leave,
    /// Ends the control thread.
    Stop,
}

/// A runner whose load is polled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadTarget {
    /// The shard of the runner.
    pub(crate) shard: Shard,
    /// The runner.
    pub(crate) runner: Name,
    /// The address of the runner.
    pub(crate) address: SocketAddr,
}
