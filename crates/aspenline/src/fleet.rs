//! All routers of the fleet, found through one of them.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::task::JoinSet;

use crate::failure::Failure;
use crate::operator::Answer;
use crate::operator::Call;
use crate::operator::Operator;

/// States of members that don't answer any more.
const GONE_STATES: [&str; 2] = ["dead", "left"];

/// A router of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Its name.
    pub(crate) name: String,
    /// Where it accepts callers.
    pub(crate) callers: SocketAddr,
}

/// What the routers of the fleet answered.
#[derive(Debug)]
pub(crate) struct Gathered {
    /// The answers, in the order of the routers' names.
    pub(crate) answers: Vec<Answer>,
    /// One sentence for each router that gave none.
    pub(crate) missing: Vec<String>,
}

/// Asks all routers that the first reachable one knows.
pub(crate) async fn gather(operator: &Operator, call: &Call) -> Result<Gathered, Failure> {
    let first = operator.call(&Call::get("/operator/status")).await?;
    let status = first.json()?;
    let mut asked = JoinSet::new();
    let mut missing = unlisted(&status);
    for peer in peers(&status, first.router) {
        let operator = operator.at(peer.callers);
        let call = call.clone();
        asked.spawn(async move { (peer, operator.call(&call).await) });
    }
    let mut found = Vec::new();
    while let Some(joined) = asked.join_next().await {
        match joined {
            Ok((peer, Ok(answer))) => found.push((peer.name, answer)),
            Ok((peer, Err(failure))) => missing.push(format!("{}: {failure}", peer.name)),
            Err(error) => missing.push(error.to_string()),
        }
    }
    found.sort_by(|one, other| one.0.cmp(&other.0));
    missing.sort();
    let answers = found.into_iter().map(|(_, answer)| answer).collect();
    Ok(Gathered { answers, missing })
}

/// Returns the router that gave a status and the members that it lists with an address.
fn peers(status: &Value, router: SocketAddr) -> Vec<Peer> {
    let own = text(status, "router");
    let mut peers = vec![Peer { name: own.clone(), callers: router }];
    for member in members(status) {
        let name = text(member, "name");
        let callers = text(member, "callers").parse();
        if let Ok(callers) = callers
            && name != own
        {
            peers.push(Peer { name, callers });
        }
    }
    peers
}

/// Returns a sentence for each member that is listed without an address.
fn unlisted(status: &Value) -> Vec<String> {
    let own = text(status, "router");
    let without = members(status).filter(|member| {
        text(member, "name") != own && text(member, "callers").parse::<SocketAddr>().is_err()
    });
    without.map(|member| format!("{}: no known address", text(member, "name"))).collect()
}

/// Returns the members that may answer.
fn members(status: &Value) -> impl Iterator<Item = &Value> {
    let listed = status.get("members").and_then(Value::as_array).into_iter().flatten();
    listed.filter(|member| !GONE_STATES.contains(&text(member, "state").as_str()))
}

/// Returns a field as text without quotes, or `-` if there is none.
pub(crate) fn text(value: &Value, field: &str) -> String {
    match value.get(field) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Tells on standard error which routers gave no answer, and fails if there are any.
pub(crate) fn report_missing(missing: &[String]) -> Result<(), Failure> {
    if missing.is_empty() {
        return Ok(());
    }
    Err(Failure::Failed(format!("no answer of all routers:\n  {}", missing.join("\n  "))))
}
