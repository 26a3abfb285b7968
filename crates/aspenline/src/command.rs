//! The commands, one module each.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod config;
pub(crate) mod explain;
pub(crate) mod keys;
pub(crate) mod placement;
pub(crate) mod platform;
pub(crate) mod serve;
pub(crate) mod status;
pub(crate) mod timeline;
