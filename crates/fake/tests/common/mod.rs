//! Starts the fakes as processes and sends requests to them.

#![allow(dead_code, reason = "each test target uses only some of these helpers")]

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The time limit of an exchange or of polling, which only a fake that hangs reaches.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// A fake that runs as a process, which is killed when the value is dropped.
pub(crate) struct Fake {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl Fake {
    pub(crate) fn start(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_aspenline-fake"));
        command.args(args).arg("--exit-with-stdin").stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the fake starts");
        let mut line = String::new();
        let output = child.stdout.as_mut().expect("piped");
        BufReader::new(output).read_line(&mut line).expect("a line with the address");
        let ready: Value = serde_json::from_str(&line).expect("JSON");
        let address = ready["ready"].as_str().and_then(|text| text.parse().ok());
        Self { child, address: address.expect("an address") }
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        request_once(self.address, "GET", path, "").await.expect("an answer")
    }

    pub(crate) async fn put(&self, path: &str, body: &Value) {
        let answer =
            request_once(self.address, "PUT", path, &body.to_string()).await.expect("an answer");
        assert_eq!(answer.status, 200, "PUT {path}: {}", answer.text);
    }

    pub(crate) async fn post(&self, path: &str, body: &str) -> Option<Answer> {
        request_once(self.address, "POST", path, body).await
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

/// A connection that is kept open for several requests.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _tasks: JoinSet<()>,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move { drop(connection.await) });
        Some(Self { sender, _tasks: tasks })
    }

    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Option<Response<Incoming>> {
        self.sender.send_request(request).await.ok()
    }

    pub(crate) async fn request(&mut self, method: &str, path: &str, body: &str) -> Option<Answer> {
        read_answer(self.send(build_request(method, path, body, &[])).await?).await
    }
}

pub(crate) fn build_request(
    method: &str,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let builder = Request::builder().method(method).uri(path).header("host", "fake");
    let add = |builder: http::request::Builder, (name, value): &(&str, &str)| {
        builder.header(*name, *value)
    };
    let builder = headers.iter().fold(builder, add);
    builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).expect("a request")
}

pub(crate) async fn read_answer(response: Response<Incoming>) -> Option<Answer> {
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    Some(Answer { status, text: String::from_utf8_lossy(&bytes).into_owned() })
}

async fn request_once(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let exchange = async { Connection::open(address).await?.request(method, path, body).await };
    tokio::time::timeout(HANG_TIMEOUT, exchange).await.expect("answered in time")
}

/// Repeats a GET request until its answer meets a condition, and returns the answer.
pub(crate) async fn wait_until<F: Fn(&Value) -> bool>(
    fake: &Fake,
    path: &str,
    is_wanted: F,
) -> Value {
    let polling = async {
        loop {
            let value =
                request_once(fake.address, "GET", path, "").await.map(|answer| answer.json());
            match value {
                Some(value) if is_wanted(&value) => return value,
                _ => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, polling).await.expect("the condition is met")
}
