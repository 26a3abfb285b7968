//! The fault matrix: every fault at every step of a request's life cycle.
//!
//! A [`Testbed`] is a fleet behind a fault-injecting proxy that runs one [`Cell`] after another. A cell brings one call
//! to a step, injects a fault, and checks the caller's answer against the runners' journals and that the fleet works
//! afterwards.

mod cell;
mod cell_run;
mod check;
mod fault;
mod injection;
mod recovery;
mod repeat;
mod roles;
mod step;
mod testbed;

pub use cell::Cell;
pub use cell::Kind;
pub use cell::Outcome;
pub use cell::Report;
pub use check::check_answer;
pub use check::check_verdict;
pub use check::execution_count;
pub use fault::Fault;
pub use step::Step;
pub use testbed::Testbed;
