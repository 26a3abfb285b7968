//! Requests to all routers of the fleet, which are discovered through one of them.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::task::JoinSet;

use crate::failure::Failure;
use crate::operator::Answer;
use crate::operator::ApiRequest;
use crate::operator::Client;

/// States of members that no longer answer.
const GONE_STATES: [&str; 2] = ["dead", "left"];

/// A router of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Router {
    /// The router's name.
    pub(crate) name: String,
    /// The address at which it accepts callers.
    pub(crate) callers: SocketAddr,
}

/// The answers of the routers of the fleet.
#[derive(Debug)]
pub(crate) struct Responses {
    /// The answers, in the order of the routers' names.
    pub(crate) answers: Vec<Answer>,
    /// A message for each router without an answer.
    pub(crate) missing: Vec<String>,
}

/// Sends a request to all routers that the first reachable router knows.
pub(crate) async fn send_to_all(
    client: &Client,
    request: &ApiRequest,
) -> Result<Responses, Failure> {
    let first = client.execute_checked(&ApiRequest::get("/operator/status")).await?;
    let status = first.json()?;
    let mut tasks = JoinSet::new();
    let mut missing = without_address(&status);
    for router in routers(&status, first.router) {
        let client = client.with_router(router.callers);
        let request = request.clone();
        tasks.spawn(async move { (router, client.execute_checked(&request).await) });
    }
    let mut answered = Vec::new();
    while let Some(joined) = tasks.join_next().await {
        match joined {
            Ok((router, Ok(answer))) => answered.push((router.name, answer)),
            Ok((router, Err(failure))) => missing.push(format!("{}: {failure}", router.name)),
            Err(error) => missing.push(error.to_string()),
        }
    }
    answered.sort_by(|one, other| one.0.cmp(&other.0));
    missing.sort();
    let answers = answered.into_iter().map(|(_, answer)| answer).collect();
    Ok(Responses { answers, missing })
}

/// Returns the router that reported a status and the members that it lists with an address.
fn routers(status: &Value, router: SocketAddr) -> Vec<Router> {
    let own = field_text(status, "router");
    let mut routers = vec![Router { name: own.clone(), callers: router }];
    for member in members(status) {
        let name = field_text(member, "name");
        let callers = field_text(member, "callers").parse();
        if let Ok(callers) = callers
            && name != own
        {
            routers.push(Router { name, callers });
        }
    }
    routers
}

/// Returns a message for each member that is listed without an address.
fn without_address(status: &Value) -> Vec<String> {
    let own = field_text(status, "router");
    let unaddressed = members(status).filter(|member| {
        field_text(member, "name") != own
            && field_text(member, "callers").parse::<SocketAddr>().is_err()
    });
    unaddressed.map(|member| format!("{}: no known address", field_text(member, "name"))).collect()
}

/// Returns the members that can be expected to answer.
fn members(status: &Value) -> impl Iterator<Item = &Value> {
    let listed = status.get("members").and_then(Value::as_array).into_iter().flatten();
    listed.filter(|member| !GONE_STATES.contains(&field_text(member, "state").as_str()))
}

/// Returns a field as text without quotes, or `-` if it is missing or null.
pub(crate) fn field_text(value: &Value, field: &str) -> String {
    match value.get(field) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Fails with the messages of the routers without an answer, if there are any.
pub(crate) fn check_missing(missing: &[String]) -> Result<(), Failure> {
    if missing.is_empty() {
        return Ok(());
    }
    Err(Failure::Failed(format!("not all routers answered:\n  {}", missing.join("\n  "))))
}
