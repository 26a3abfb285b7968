//! A bounded amount of memory that is shared by the clients of a process.
//!
//! [`Ledger`] decides without input or output who may take memory and who gives way. [`Budget`] shares a ledger between
//! tasks, which wait for memory and learn that they give way.
//!
//! ```
//! use std::time::Duration;
//!
//! use budget::Class;
//! use budget::Ledger;
//! use budget::Limits;
//!
//! let mut ledger = Ledger::new(Limits { total: 100, reserved: 20, answers: 0, small: 10 });
//! let body = ledger.open(Duration::ZERO, 1, Class::Incomplete);
//! assert!(ledger.grow(body, 80));
//! assert!(!ledger.grow(body, 1));
//! ledger.close(body);
//! assert_eq!(ledger.held(), 0);
//! ```

mod ledger;
mod limits;
mod share;

pub use ledger::Class;
pub use ledger::Key;
pub use ledger::Ledger;
pub use limits::Limits;
pub use share::Budget;
pub use share::Figures;
pub use share::Refused;
pub use share::Reservation;
