//! The origin of the figures that routers report to each other.

use base::Name;

/// The origin of reported figures.
///
/// The routers of a zone report their own figures to each other, and the sums over their zone to the other zones, so no
/// figure is counted twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Origin {
    /// One router.
    Router(Name),
    /// All routers of an availability zone.
    Zone(Name),
}

impl Origin {
    /// Returns whether the figures are those of a single router.
    #[must_use]
    pub const fn is_router(&self) -> bool {
        matches!(self, Self::Router(_))
    }
}
