//! The HTTP interface of a router: calls from callers, requests to runners, and the operators' API.
//!
//! [`Server`] accepts connections on the traffic threads. A call is authenticated, checked and queued; once a runner is
//! granted, the call is sent to it, and the answer or a [`Problem`] is returned to the caller. Traffic threads send
//! [`Order`]s to the control thread and read the [`Snapshot`]s that it publishes.
//!
//! ```
//! let problem = front::Problem::new(http::StatusCode::TOO_MANY_REQUESTS, base::Verdict::NotRun, "queue is full")
//!     .retry_after(std::time::Duration::from_millis(1500));
//! assert_eq!(problem.response().headers()["retry-after"], "2");
//! ```

mod address;
mod auth;
mod call;
mod command;
mod context;
mod counters;
mod flow;
mod handler;
mod operator;
mod order;
mod permit;
mod problem;
mod reply;
mod runner;
mod server;
mod snapshot;

pub use command::COMMAND_ACK_TIMEOUT;
pub use command::Command;
pub use command::Outcome;
pub use command::send_command;
pub use context::Context;
pub use counters::Counters;
pub use counters::Counts;
pub use order::Applied;
pub use order::Decision;
pub use order::Order;
pub use order::Placement;
pub use order::PlacementKind;
pub use order::Submission;
pub use problem::Problem;
pub use runner::fetch_load;
pub use server::Error;
pub use server::Server;
pub use snapshot::LiveRouter;
pub use snapshot::Snapshot;
