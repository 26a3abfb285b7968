//! A facade over the crates of the aspenline router fleet. The binary of the same name is its command-line interface.
//!
//! ```
//! let digest = aspenline::conf::digest("secret");
//! assert_eq!(digest.len(), 64);
//! ```

pub use base;
pub use conf;
pub use front;
pub use mesh;
pub use node;
pub use plat;
