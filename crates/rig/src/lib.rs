//! A test rig that runs a fleet of real router processes with fakes of its surroundings, and calls it as clients do.
//!
//! [`Fleet::builder`] starts the platform, runners, an optional fault-injecting proxy and routers. [`Caller`] sends
//! single requests, and [`Load`] sends many of them in a reproducible order. [`matrix`] injects faults at every step
//! of a request.
//!
//! ```
//! use std::time::Duration;
//!
//! let times: Vec<Duration> = (1..=100).map(Duration::from_millis).collect();
//! assert_eq!(rig::percentile(&times, 99.0), Some(Duration::from_millis(99)));
//! ```

mod answer;
mod builder;
mod call;
mod caller;
mod error;
mod events;
pub mod exchange;
mod fake_process;
mod fleet;
mod load;
pub mod matrix;
mod mix;
mod network;
mod percentile;
mod plan;
mod process;
mod record;
mod router;
mod run_directory;

pub use answer::Answer;
pub use answer::Failure;
pub use answer::Mismatch;
pub use answer::Problem;
pub use answer::Token;
pub use builder::Builder;
pub use call::Call;
pub use call::Prompt;
pub use caller::Addresses;
pub use caller::Caller;
pub use caller::RouterAddress;
pub use error::Error;
pub use fake::platform::Faults;
pub use fake_process::FakeProcess;
pub use fleet::Fleet;
pub use fleet::OPERATOR_TOKEN;
pub use load::Arrival;
pub use load::Load;
pub use load::Stream;
pub use mix::Mix;
pub use network::Change;
pub use network::Network;
pub use network::Traffic;
pub use percentile::percentile;
pub use plan::RunnerPlan;
pub use plan::ServicePlan;
pub use plan::WorkspacePlan;
pub use plan::ZonePlan;
pub use process::Launch;
pub use process::Process;
pub use process::Ready;
pub use record::Record;
pub use router::InstanceState;
pub use router::Router;
pub use run_directory::RunDirectory;
