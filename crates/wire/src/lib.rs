//! Typed frames between routers, and their encoding.
//!
//! ```
//! let frame = wire::Frame::NotOwner(wire::NotOwner { shard: wire::Shard::new("chat", "north", 0) });
//! let bytes = frame.encode().expect("encodable");
//! assert_eq!(wire::Frame::decode(&bytes).expect("decodable"), frame);
//! ```

mod codec;
mod frame;
mod shard;

pub use codec::Error;
pub use codec::LIMIT as FRAME_LIMIT;
pub use frame::Cancel;
pub use frame::ConfigContent;
pub use frame::Crash;
pub use frame::Done;
pub use frame::Enqueue;
pub use frame::Frame;
pub use frame::Grant;
pub use frame::NotOwner;
pub use frame::Outcome;
pub use frame::PlacementOrder;
pub use frame::Redirect;
pub use frame::Refuse;
pub use frame::Resync;
pub use frame::Running;
pub use frame::Served;
pub use frame::TakeOver;
pub use frame::Total;
pub use frame::Totals;
pub use frame::Usage;
pub use shard::Key as Shard;
pub use shard::Term;
