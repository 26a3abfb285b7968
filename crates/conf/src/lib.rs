//! Settings of one router and the configuration of a fleet, as JSON with comments.
//!
//! All faults of a file are reported at once, each with its position:
//!
//! ```
//! let text = r#"{ "zones": [{ "nam": "north-1", "region": "north" }] } // spelled wrongly"#;
//! let error = conf::Configuration::parse(text).expect_err("not a configuration");
//! let fault = error.current_context().faults().last().expect("at least one fault");
//! assert_eq!((fault.line, fault.column), (1, 15));
//! assert_eq!(fault.nearest.as_deref(), Some("name"));
//! ```

mod chain;
pub mod configuration;
mod document;
mod fault;
mod field;
mod scan;
pub mod settings;
mod token;

pub use chain::Chain;
pub use chain::Record;
pub use chain::Version;
pub use configuration::Configuration;
pub use fault::Error;
pub use fault::Fault;
pub use settings::Settings;
pub use token::digest;
