//! Real links on loopback.

mod claim;
mod common;
mod path;
mod silence;
mod trust;
