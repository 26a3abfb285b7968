//! Settings of the claims, and the requests made of them.

use std::time::Duration;

use base::Name;
use base::RequestId;
use uuid::Uuid;

use crate::Scope;

/// Settings of the claims of a router.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this router.
    pub router: Name,
    /// The stream of claims in the platform's log.
    pub stream: String,
    /// How long the log keeps a record at least.
    pub retention: Duration,
    /// How long the append and the read back of a claim may take together.
    pub deadline: Duration,
}

/// A call that wants to run at most once.
#[derive(Debug, Clone)]
pub struct Request {
    /// The caller's workspace.
    pub workspace: Name,
    /// The called service.
    pub service: Name,
    /// The caller's key, a UUIDv7.
    pub key: Uuid,
    /// A digest of the content.
    pub digest: [u8; 32],
    /// The id of the request.
    pub request: RequestId,
}

impl Request {
    pub(crate) fn scope(&self) -> Scope {
        Scope { workspace: self.workspace.clone(), service: self.service.clone(), key: self.key }
    }
}
