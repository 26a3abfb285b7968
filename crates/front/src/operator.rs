//! The operators' API: status, timeline, configuration and placement.

use std::sync::Arc;
use std::time::Duration;

use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::State;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::Applied;
use crate::Context;
use crate::Order;
use crate::Placement;
use crate::Problem;
use crate::auth;
use crate::handler;
use crate::handler::Request;
use crate::problem;

/// Retry delay sent to an operator when the platform's log did not answer.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A configuration to publish.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Publication {
    base: u64,
    text: String,
}

/// A request whose body has been parsed.
struct Parsed<T> {
    context: Arc<Context>,
    value: T,
}

/// The answer to a publication: the version that is in force.
#[derive(Debug, Serialize)]
struct ActiveVersion {
    version: u64,
}

/// The answer to a placement order: its counter.
#[derive(Debug, Serialize)]
struct PlacementReceipt {
    counter: u64,
}

/// Returns the status of this router.
pub(crate) async fn status(mut state: State) -> HandlerResult {
    let result = query(authorized_request(&mut state), |reply| Order::Status { reply }).await;
    handler::respond(state, result.map(|status| problem::json(StatusCode::OK, &status)))
}

/// Returns the recorded events of this router.
pub(crate) async fn timeline(mut state: State) -> HandlerResult {
    let result = authorized_request(&mut state)
        .map(|request| problem::json(StatusCode::OK, &request.context.ring.snapshot()));
    handler::respond(state, result)
}

/// Returns the configuration in force.
pub(crate) async fn config(mut state: State) -> HandlerResult {
    let content = query(authorized_request(&mut state), |reply| Order::Config { reply }).await;
    let result = content.map(|content| match content {
        Some(content) => problem::json(StatusCode::OK, &content),
        None => Problem::rejected(StatusCode::NOT_FOUND, "no configuration is in force").response(),
    });
    handler::respond(state, result)
}

/// Publishes a configuration.
pub(crate) async fn apply(mut state: State) -> HandlerResult {
    let request = authorized_request(&mut state);
    handler::respond(state, publish(request).await)
}

/// Takes a zone or an instance out of service or returns it to service.
pub(crate) async fn change_placement(mut state: State) -> HandlerResult {
    let request = authorized_request(&mut state);
    handler::respond(state, submit_placement(request).await)
}

async fn publish(request: Result<Request, Problem>) -> Result<Response<Body>, Problem> {
    let Parsed { context, value } = parse_body::<Publication>(request?).await?;
    let Publication { base, text } = value;
    send(&context, |reply| Order::Apply { base, text, reply }).await.and_then(applied_response)
}

async fn submit_placement(request: Result<Request, Problem>) -> Result<Response<Body>, Problem> {
    let Parsed { context, value } = parse_body::<Placement>(request?).await?;
    let counter =
        send(&context, |reply| Order::ChangePlacement { placement: value, reply }).await?;
    let counter = counter.ok_or_else(|| {
        Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            base::Verdict::MayHaveRun,
            "only this router has the order so far; give it again to be sure",
        )
        .retry_after(LOG_RETRY_AFTER)
    })?;
    Ok(problem::json(StatusCode::OK, &PlacementReceipt { counter }))
}

fn applied_response(result: Applied) -> Result<Response<Body>, Problem> {
    match result {
        Applied::Active(version) => Ok(problem::json(StatusCode::OK, &ActiveVersion { version })),
        Applied::Conflict(version) => Err(Problem::rejected(
            StatusCode::CONFLICT,
            format!("another configuration came first: version {version} is in force"),
        )),
        Applied::Invalid(reason) => {
            Err(Problem::rejected(StatusCode::UNPROCESSABLE_ENTITY, reason))
        }
        Applied::Unavailable => Err(Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            base::Verdict::MayHaveRun,
            "the platform's log did not answer; ask for the version in force before trying again",
        )
        .retry_after(LOG_RETRY_AFTER)),
    }
}

fn authorized_request(state: &mut State) -> Result<Request, Problem> {
    let request = Request::take(state);
    auth::authorize_operator(&request.context, &request.headers)?;
    Ok(request)
}

async fn query<T>(
    request: Result<Request, Problem>,
    order: impl FnOnce(oneshot::Sender<T>) -> Order,
) -> Result<T, Problem> {
    send(&request?.context, order).await
}

async fn send<T>(
    context: &Context,
    order: impl FnOnce(oneshot::Sender<T>) -> Order,
) -> Result<T, Problem> {
    let (reply, answer) = oneshot::channel();
    context.send_order(order(reply));
    answer.await.map_err(|_| {
        Problem::rejected(StatusCode::SERVICE_UNAVAILABLE, "the router is shutting down")
    })
}

async fn parse_body<T: DeserializeOwned>(request: Request) -> Result<Parsed<T>, Problem> {
    let bytes = handler::read_body(&request.context, request.body).await?;
    let value = serde_json::from_slice(&bytes).map_err(|error| {
        Problem::rejected(StatusCode::BAD_REQUEST, format!("the body is not valid: {error}"))
    })?;
    Ok(Parsed { context: request.context, value })
}
