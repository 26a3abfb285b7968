//! Real links on loopback.

mod common;
mod impersonation;
mod lost_flow;
mod relay;
mod trust;
