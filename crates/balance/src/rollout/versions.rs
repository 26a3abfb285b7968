//! Versions of which it is not known yet whether an order concerns them.
//!
//! The operator's order comes before the runners of its version. A version that appears beside another one therefore receives
//! no requests until the operator's topic is known as of a later time.

use std::time::Duration;

use base::Name;
use indexmap::IndexMap;

/// The versions of each service; the time at which one was first seen, until the operator's topic is known as of then.
#[derive(Debug, Clone, Default)]
pub(crate) struct Versions {
    services: IndexMap<Name, IndexMap<Option<Name>, Option<Duration>>>,
    pending: usize,
}

impl Versions {
    /// Returns whether any version is on hold.
    pub(crate) const fn has_pending(&self) -> bool {
        self.pending > 0
    }

    /// Records the versions of the runners; those of a service without any known one are not held.
    pub(crate) fn record<'a>(
        &mut self,
        now: Duration,
        runners: impl Iterator<Item = (&'a Name, &'a Option<Name>)>,
    ) {
        let before: Vec<Name> = self.services.keys().cloned().collect();
        for (service, version) in runners {
            if !self.services.contains_key(service) {
                self.services.insert(service.clone(), IndexMap::new());
            }
            let versions = &mut self.services[service];
            if !versions.contains_key(version) {
                let is_held = before.contains(service) && version.is_some();
                versions.insert(version.clone(), is_held.then_some(now));
                self.pending += usize::from(is_held);
            }
        }
    }

    /// Releases the versions that were first seen before the time as of which the operator's topic is known.
    pub(crate) fn confirm(&mut self, as_of: Option<Duration>) {
        let Some(as_of) = as_of.filter(|_| self.has_pending()) else { return };
        for seen in self.services.values_mut().flat_map(IndexMap::values_mut) {
            if seen.is_some_and(|seen| seen < as_of) {
                *seen = None;
                self.pending -= 1;
            }
        }
    }

    /// Returns whether a version is on hold.
    pub(crate) fn is_held(&self, service: &Name, version: &Option<Name>) -> bool {
        let versions = self.services.get(service).filter(|_| self.has_pending());
        versions.and_then(|versions| versions.get(version)).is_some_and(Option::is_some)
    }

    /// Returns the services that have runners of several versions.
    pub(crate) fn mixed(&self) -> impl Iterator<Item = &Name> {
        let mixed = self.services.iter().filter(|(_, versions)| versions.len() > 1);
        mixed.map(|(service, _)| service)
    }
}
