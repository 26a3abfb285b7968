//! Real links on loopback.

mod common;
mod impersonation;
mod lost_flow;
mod lost_process;
mod relay;
mod trust;
