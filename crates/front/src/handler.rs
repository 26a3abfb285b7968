//! Routes and handlers of the HTTP interface.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::new_pipeline;
use gotham::pipeline::single_pipeline;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::prelude::FromState;
use gotham::router::Router;
use gotham::router::build_router;
use gotham::state::State;
use gotham::state::StateData;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use tokio::time;

use crate::Context;
use crate::Problem;
use crate::address;
use crate::auth;
use crate::call::Call;
use crate::call::RawCall;
use crate::flow;
use crate::operator;
use crate::problem;
use crate::reply::Reply;

/// Path prefix of service calls.
const SERVICES: &str = "/v1/services/";

/// The context as gotham adds it to the state of each request.
#[derive(Debug, Clone)]
pub(crate) struct SharedContext {
    pub(crate) context: Arc<Context>,
    rotation: Arc<AtomicU64>,
}

impl StateData for SharedContext {}

impl std::panic::RefUnwindSafe for SharedContext {}

/// A request taken out of gotham's state, which cannot be held across an await point.
#[derive(Debug)]
pub(crate) struct Request {
    /// The context of this router.
    pub(crate) context: Arc<Context>,
    /// The method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The body, not read yet.
    pub(crate) body: Body,
}

impl Request {
    /// Takes a request out of the state.
    pub(crate) fn take(state: &mut State) -> Self {
        Self {
            context: Arc::clone(&SharedContext::borrow_from(state).context),
            method: Method::take_from(state),
            uri: Uri::take_from(state),
            headers: HeaderMap::take_from(state),
            body: Body::take_from(state),
        }
    }
}

/// Builds the gotham router of all HTTP requests.
pub(crate) fn routes(context: Arc<Context>) -> Router {
    let shared = SharedContext { context, rotation: Arc::new(AtomicU64::new(0)) };
    let (chain, pipelines) =
        single_pipeline(new_pipeline().add(StateMiddleware::new(shared)).build());
    build_router(chain, pipelines, |route| {
        let any = vec![
            Method::GET,
            Method::HEAD,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
        ];
        route.get("/v1/addresses").to_async(addresses);
        route.request(any, "/v1/services/*").to_async(call);
        route.get("/operator/status").to_async(operator::status);
        route.get("/operator/timeline").to_async(operator::timeline);
        route.get("/operator/config").to_async(operator::config);
        route.post("/operator/config").to_async(operator::apply);
        route.post("/operator/placement").to_async(operator::change_placement);
    })
}

/// Converts the result of a handler to its response.
pub(crate) fn respond(state: State, result: Result<Response<Body>, Problem>) -> HandlerResult {
    Ok((state, result.unwrap_or_else(|problem| problem.response())))
}

/// Reads the body of a request within the size and time limits of the settings.
pub(crate) async fn read_body(context: &Context, body: Body) -> Result<Bytes, Problem> {
    let limits = &context.settings.limits;
    let collecting = Limited::new(body, limits.body_bytes).collect();
    match time::timeout(Duration::from_millis(limits.body_timeout_ms), collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is larger than {} bytes", limits.body_bytes),
        )),
        Ok(Err(_)) => {
            Err(Problem::rejected(StatusCode::BAD_REQUEST, "the body did not arrive whole"))
        }
        Err(_) => {
            Err(Problem::rejected(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time"))
        }
    }
}

async fn addresses(state: State) -> HandlerResult {
    let shared = SharedContext::borrow_from(&state).clone();
    let rotation = shared.rotation.fetch_add(1, Ordering::Relaxed);
    let result = auth::authenticate(&shared.context, HeaderMap::borrow_from(&state))
        .and_then(|_| address::answer(&shared.context, rotation))
        .map(|answer| problem::json(StatusCode::OK, &answer));
    respond(state, result)
}

async fn call(mut state: State) -> HandlerResult {
    let request = Request::take(&mut state);
    let context = Arc::clone(&request.context);
    let result = match check(request).await {
        Ok(call) => run(context, call).await,
        Err(problem) => {
            context.counters.record_refusal(problem.verdict());
            Err(problem)
        }
    };
    respond(state, result)
}

async fn check(request: Request) -> Result<Call, Problem> {
    let Request { context, method, uri, headers, body } = request;
    let caller = auth::authenticate(&context, &headers)?;
    let rest = uri.path().strip_prefix(SERVICES).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let body = read_body(&context, body).await?;
    Call::check(
        caller,
        RawCall { service, path: format!("/{path}{query}"), method, headers: &headers, body },
    )
}

async fn run(context: Arc<Context>, call: Call) -> Result<Response<Body>, Problem> {
    let request = call.request;
    let (reply, head) = Reply::new();
    let tasks = context.tasks.clone();
    tasks.spawn(flow::serve(context, call, reply));
    head.await.map_err(|_| {
        Problem::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            base::Verdict::MayHaveRun,
            "the call ended without an answer",
        )
        .request(request)
    })
}
