//! HTTP to callers, runners and operators: authentication, the life of a call, and address answers.
//!
//! ```
//! let problem = front::Problem::new(http::StatusCode::TOO_MANY_REQUESTS, base::Verdict::NotRun, "queue is full")
//!     .retry_after(std::time::Duration::from_millis(1500));
//! assert_eq!(problem.response().headers()["retry-after"], "2");
//! ```

mod address;
mod authority;
mod call;
mod context;
mod flow;
mod handler;
mod meter;
mod operator;
mod order;
mod order_runner;
mod problem;
mod reply;
mod runner;
mod seat;
mod server;
mod snapshot;

pub use context::Context;
pub use meter::Meter;
pub use meter::Reading;
pub use order::Applied;
pub use order::Decision;
pub use order::Order;
pub use order::Placement;
pub use order::PlacementKind;
pub use order::Submission;
pub use order_runner::Command;
pub use order_runner::ORDER_UNACKNOWLEDGED;
pub use order_runner::Outcome;
pub use order_runner::order_runner;
pub use problem::Problem;
pub use runner::fetch_load;
pub use server::Error;
pub use server::Server;
pub use snapshot::Place;
pub use snapshot::Snapshot;
