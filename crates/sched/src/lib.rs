//! Dispatch decisions without I/O: fair order of grants, runner limits and retry budgets.
//!
//! A [`Dispatcher`] queues the requests of one shard and grants runners; an [`Entry`] tracks the
//! requests of a router's own callers. Both take frames and times and return actions.
//!
//! ```
//! use std::time::Duration;
//!
//! let shard = wire::Shard::new("chat", "north", 0);
//! let members = [base::Name::new("r1"), base::Name::new("r2")];
//! let owner = sched::owner(&shard, &members).expect("there are members");
//! let mut entry = sched::Entry::new(base::Name::new("r1"));
//! entry.set_owner(&shard, Some(owner.clone()), Duration::ZERO);
//! assert_eq!(entry.poll(Duration::ZERO), Vec::new());
//! ```

mod action;
pub mod baseline;
mod budget;
mod charge;
mod chart;
mod dispatcher;
mod dispatcher_frames;
mod entry;
mod entry_frames;
mod grant;
mod idle;
mod limit;
mod mean;
mod meter;
mod plan;
mod queue;
mod rendezvous;
mod report;
mod resync;
mod runner;
mod sibling;
mod slots;
mod status;
mod term_state;
pub mod timing;
mod totals;
mod workspace;

pub use action::Action;
pub use action::EventRecord;
pub use budget::Budget;
pub use charge::MAX_ESTIMATE;
pub use chart::State;
pub use dispatcher::Dispatcher;
pub use entry::Action as EntryAction;
pub use entry::Entry;
pub use limit::reserve;
pub use limit::share;
pub use plan::Kind;
pub use plan::Load;
pub use plan::Peer;
pub use plan::Plan;
pub use plan::RunnerPlan;
pub use plan::WorkspacePlan;
pub use rendezvous::owner;
pub use rendezvous::successors;
pub use sibling::Sibling;
pub use status::RunnerStatus;
pub use status::Status;
pub use status::WorkspaceStatus;
