//! Starts the stand-ins and talks to them.

#![allow(dead_code, reason = "each test uses its own part")]

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

/// A limit that only a hanging stand-in reaches.
pub(crate) const HANG: Duration = Duration::from_secs(20);

/// A stand-in, which ends with its value.
pub(crate) struct Fake {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl Fake {
    pub(crate) fn start(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_aspenline-fake"));
        command.args(args).arg("--exit-with-stdin").stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the stand-in starts");
        let mut line = String::new();
        let output = child.stdout.as_mut().expect("piped");
        BufReader::new(output).read_line(&mut line).expect("a ready line");
        let ready: Value = serde_json::from_str(&line).expect("JSON");
        let address = ready["ready"].as_str().and_then(|text| text.parse().ok());
        Self { child, address: address.expect("an address") }
    }

    pub(crate) async fn get(&self, path: &str) -> Got {
        get(self.address, "GET", path, "").await.expect("an answer")
    }

    pub(crate) async fn put(&self, path: &str, body: &Value) {
        let got = get(self.address, "PUT", path, &body.to_string()).await.expect("an answer");
        assert_eq!(got.status, 200, "PUT {path}: {}", got.text);
    }

    pub(crate) async fn post(&self, path: &str, body: &str) -> Option<Got> {
        get(self.address, "POST", path, body).await
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Got {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl Got {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

/// A connection that stays open over several requests.
pub(crate) struct Line {
    sender: http1::SendRequest<Full<Bytes>>,
    _tasks: JoinSet<()>,
}

impl Line {
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

    pub(crate) async fn ask(&mut self, method: &str, path: &str, body: &str) -> Option<Got> {
        whole(self.send(request(method, path, body, &[])).await?).await
    }
}

pub(crate) fn request(
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

pub(crate) async fn whole(response: Response<Incoming>) -> Option<Got> {
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    Some(Got { status, text: String::from_utf8_lossy(&bytes).into_owned() })
}

async fn get(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Got> {
    let asked = async { Line::open(address).await?.ask(method, path, body).await };
    tokio::time::timeout(HANG, asked).await.expect("no hang")
}

/// Asks again until the answer is as wanted.
pub(crate) async fn until<F: Fn(&Value) -> bool>(fake: &Fake, path: &str, is_wanted: F) -> Value {
    let asked = async {
        loop {
            let value = get(fake.address, "GET", path, "").await.map(|got| got.json());
            match value {
                Some(value) if is_wanted(&value) => return value,
                _ => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    tokio::time::timeout(HANG, asked).await.expect("reached")
}
