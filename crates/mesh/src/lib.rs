//! Members of the fleet and the authenticated links between them.
//!
//! [`Mesh`] connects a router to the others. It detects which members are alive, sends [`wire::Frame`]s to members and
//! disseminates [`Register`]s to all of them. The membership protocol is in [`swim`], which performs no input or output.
//!
//! ```
//! let authority = mesh::issue::authority("fleet").expect("a new authority");
//! let router = base::Name::new("r1");
//! let identity = mesh::issue::member(&authority, &router).expect("a new identity");
//! identity.check(&router).expect("usable as r1");
//! assert!(identity.check(&base::Name::new("r2")).is_err());
//! ```

mod accept;
mod core;
mod counters;
mod error;
mod handshake;
mod identity;
pub mod issue;
mod link;
mod member;
mod mesh;
mod register;
mod session;
mod settings;
pub mod swim;
mod tls;

pub use counters::Counters;
pub use error::Error;
pub use identity::Identity;
pub use member::Candidate;
pub use member::Member;
pub use member::Record;
pub use member::State;
pub use member::Version;
pub use mesh::Event;
pub use mesh::Mesh;
pub use register::Register;
pub use register::Table as RegisterTable;
pub use register::VALUE_LIMIT;
pub use settings::Settings;
