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
    /// Whether the platform has announced its end.
    pub leaving: bool,
}

/// What is known of the life of a member.
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
    /// The member has not answered and may refute.
    Suspect,
    /// The member has neither answered nor refuted in time.
    Dead,
    /// The member has said that it leaves.
    Left,
}

impl State {
    /// Returns whether frames for the member make sense.
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
    /// Differs between two processes under the same name; the later one has the larger value.
    pub incarnation: u64,
    /// What is known of its life.
    pub state: State,
}

/// How new a piece of news of a member is: its process, then the number of times it has refuted.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version {
    /// Wall-clock milliseconds at the start of the process.
    pub incarnation: u64,
    /// How often the process has refuted that it is suspect or dead.
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

/// Who a member is and where it listens, in its own words.
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
