//! HTTP requests that use a new connection each.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::Error;

/// The timeout for a JSON request to a process of the fleet.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A new connection: the sender of requests and the task that drives it.
pub(crate) struct Opened {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) connection: Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

/// Opens a connection, or returns `None` if that fails.
pub(crate) async fn open(address: SocketAddr) -> Option<Opened> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    Some(Opened { sender, connection })
}

/// Drives a connection while a future that uses it runs.
pub(crate) async fn run_with_connection<T>(
    connection: Connection<TokioIo<TcpStream>, Full<Bytes>>,
    work: impl Future<Output = T>,
) -> T {
    let connection_task = async {
        let _ = connection.await;
        std::future::pending::<Infallible>().await
    };
    tokio::select! {
        done = work => done,
        never = connection_task => match never {},
    }
}

/// Sends a request and returns the complete answer.
///
/// # Errors
/// Returns [`Error::NoAnswer`] if no complete answer arrives before the timeout.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, Report<Error>> {
    let what = format!("{} {} at {address}", request.method(), request.uri());
    let failed = || Error::NoAnswer(what.clone());
    let exchange = async {
        let Opened { mut sender, connection } =
            open(address).await.ok_or_else(|| Report::new(failed()))?;
        let work = async {
            let response = sender.send_request(request).await.change_context_lazy(failed)?;
            let (parts, body) = response.into_parts();
            let bytes = body.collect().await.change_context_lazy(failed)?.to_bytes();
            Ok(Response::from_parts(parts, bytes))
        };
        run_with_connection(connection, work).await
    };
    tokio::time::timeout(timeout, exchange).await.change_context_lazy(failed)?
}

/// Sends a `GET` request and returns the JSON document of the answer.
///
/// # Errors
/// Returns an error if the request isn't answered in time, is refused or the answer has an unexpected form.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Report<Error>> {
    request_json(address, Method::GET, path, Bytes::new()).await
}

/// Sends a JSON document in a `PUT` request and returns the answer.
///
/// # Errors
/// Returns an error if the request isn't answered in time, is refused or the answer has an unexpected form.
pub async fn put<B: Serialize, T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &B,
) -> Result<T, Report<Error>> {
    request_json(address, Method::PUT, path, to_json(body)).await
}

/// Sends a JSON document in a `POST` request and returns the answer.
///
/// # Errors
/// Returns an error if the request isn't answered in time, is refused or the answer has an unexpected form.
pub async fn post<B: Serialize, T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &B,
) -> Result<T, Report<Error>> {
    request_json(address, Method::POST, path, to_json(body)).await
}

fn to_json<B: Serialize>(body: &B) -> Bytes {
    Bytes::from(serde_json::to_vec(body).expect("request bodies serialize to JSON"))
}

async fn request_json<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<T, Report<Error>> {
    let what = format!("{method} {path} at {address}");
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))
        .change_context_lazy(|| Error::Malformed(what.clone()))?;
    let answer = send(address, request, REQUEST_TIMEOUT).await?;
    if !answer.status().is_success() {
        let body = String::from_utf8_lossy(answer.body()).into_owned();
        return Err(
            Report::new(Error::Refused(format!("{what}: {}", answer.status()))).attach(body)
        );
    }
    serde_json::from_slice(answer.body()).change_context_lazy(|| Error::Malformed(what))
}
