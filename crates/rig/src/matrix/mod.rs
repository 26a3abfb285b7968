//! The fault matrix: every fault at every step of a request's life.
//!
//! A [`Ground`] is a fleet behind a faulty network, on which one [`Cell`] after another is run. A cell brings one
//! call to a step, strikes with a fault, and checks what the caller got, what the runners' journals say and that the
//! fleet works afterwards.

mod cell;
mod check;
mod fault;
mod ground;
mod heal;
mod repeat;
mod roles;
mod step;
mod strike;
mod trial;

pub use cell::Cell;
pub use cell::Ending;
pub use cell::Kind;
pub use cell::Report;
pub use check::executions;
pub use check::judge;
pub use check::verdict_is_true;
pub use fault::Fault;
pub use ground::Ground;
pub use step::Step;
