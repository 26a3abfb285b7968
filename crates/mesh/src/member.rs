//! Candidates, members and their states.

use std::net::SocketAddr;

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// A router on the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the router.
    pub name: Name,
    /// Where its mesh endpoint listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// Whether the platform has announced that the router is leaving.
    pub leaving: bool,
}

/// The state of a member.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// The member answers.
    Alive,
    /// The member has not answered, and can refute the suspicion.
    Suspect,
    /// The member has neither answered nor refuted in time.
    Dead,
    /// The member has announced that it leaves.
    Left,
}

impl State {
    /// Returns whether the member is alive or suspected, so that frames are sent to it.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A router that is or was part of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the router.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// The incarnation, which differs between processes under the same name. The later process has the larger value.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
}

/// The version of a member, which orders updates about it: its process, then the number of its refutations.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version {
    /// Wall-clock milliseconds at the start of the process.
    pub incarnation: u64,
    /// Number of times that the process has refuted that it is suspect or dead.
    pub refutation: u32,
}

impl Version {
    /// Returns the smallest version of the same process, or of a later one, that supersedes `other`.
    #[must_use]
    pub const fn superseding(self, other: Self) -> Self {
        if other.incarnation > self.incarnation {
            return Self { incarnation: other.incarnation + 1, refutation: 0 };
        }
        if other.incarnation < self.incarnation || other.refutation < self.refutation {
            return self;
        }
        Self { incarnation: self.incarnation, refutation: other.refutation.saturating_add(1) }
    }
}

/// The name, address, zone and region that a member announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The name of the router.
    pub name: Name,
    /// Where its mesh endpoint listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Its region.
    pub region: Name,
}
