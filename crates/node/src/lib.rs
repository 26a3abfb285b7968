//! A router process: its control thread, its traffic threads, and their start and shutdown.
//!
//! [`run`] serves until the process receives a termination signal, then leaves the fleet without cutting off a running
//! call.
//!
//! ```no_run
//! let settings = conf::Settings::parse("{ /* see docs/settings.example.json */ }").expect("valid settings");
//! node::run(settings).expect("served until terminated");
//! ```

mod control;
mod error;
mod input;
mod load;
mod metric;
mod process;
mod tail;
mod usage;

pub use control::lease;
pub use error::Error;
pub use process::run;
