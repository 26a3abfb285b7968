//! Authentication of callers and operators by bearer tokens.

use std::sync::Arc;

use base::Name;
use conf::Configuration;
use http::HeaderMap;
use http::StatusCode;
use http::header::AUTHORIZATION;

use crate::Context;
use crate::Problem;

/// An authenticated caller.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The workspace that is charged.
    pub(crate) workspace: Name,
    /// The configuration in force when the call arrived.
    pub(crate) configuration: Arc<Configuration>,
}

/// Authenticates a caller by its bearer token and returns its workspace.
///
/// # Errors
/// Returns a problem when the headers are too large, no configuration is in force, or the token is missing or unknown.
pub(crate) fn authenticate(context: &Context, headers: &HeaderMap) -> Result<Caller, Problem> {
    check_header_size(context, headers)?;
    let snapshot = context.snapshot.borrow().clone();
    let Some(configuration) = snapshot.configuration else {
        return Err(Problem::rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "this router has no configuration yet or has not joined the fleet",
        )
        .retry_after(std::time::Duration::from_secs(1)));
    };
    let token = bearer_token(headers)?;
    let Some(workspace) = configuration.workspace_of(&conf::digest(token)) else {
        return Err(Problem::rejected(StatusCode::UNAUTHORIZED, "the token is not known"));
    };
    Ok(Caller { workspace: workspace.name.clone(), configuration: Arc::clone(&configuration) })
}

/// Checks the token of an operator.
///
/// # Errors
/// Returns a problem when the headers are too large, or the token is missing or wrong.
pub(crate) fn authorize_operator(context: &Context, headers: &HeaderMap) -> Result<(), Problem> {
    check_header_size(context, headers)?;
    let token = bearer_token(headers)?;
    if conf::digest(token).eq_ignore_ascii_case(&context.settings.operator_token_sha256) {
        Ok(())
    } else {
        Err(Problem::rejected(StatusCode::FORBIDDEN, "the token is not the operators' token"))
    }
}

fn check_header_size(context: &Context, headers: &HeaderMap) -> Result<(), Problem> {
    let limit = context.settings.limits.header_bytes;
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size <= limit {
        return Ok(());
    }
    let detail = format!("the headers are larger than {limit} bytes");
    Err(Problem::rejected(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, detail))
}

fn bearer_token(headers: &HeaderMap) -> Result<&str, Problem> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim)
        .ok_or_else(|| {
            Problem::rejected(
                StatusCode::UNAUTHORIZED,
                "an Authorization header with a bearer token is needed",
            )
        })
}
