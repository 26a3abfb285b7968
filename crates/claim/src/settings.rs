//! Settings of the claims, and the calls to be claimed.

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
    /// The stream of the platform's log that holds the claims.
    pub stream: String,
    /// The minimum time for which the log keeps a record.
    pub retention: Duration,
    /// The maximum time for appending a claim and reading it back.
    pub deadline: Duration,
}

/// A call that must run at most once.
#[derive(Debug, Clone)]
pub struct Request {
    /// The caller's workspace.
    pub workspace: Name,
    /// The called service.
    pub service: Name,
    /// The caller's idempotency key, a UUIDv7.
    pub key: Uuid,
    /// The digest of the content.
    pub digest: [u8; 32],
    /// The identifier of the request.
    pub request: RequestId,
}

impl Request {
    pub(crate) fn scope(&self) -> Scope {
        Scope { workspace: self.workspace.clone(), service: self.service.clone(), key: self.key }
    }
}
