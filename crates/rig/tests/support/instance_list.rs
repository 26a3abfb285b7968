//! An instance list that a test serves itself, as the platform fake doesn't list runners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// A server of an instance list; dropping it stops the server.
#[derive(Debug)]
pub(crate) struct InstanceList {
    pub(crate) address: SocketAddr,
    text: Arc<Mutex<String>>,
    _serving: JoinSet<()>,
}

impl InstanceList {
    /// Starts a server with an empty list.
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("bound");
        let text = Arc::new(Mutex::new(r#"{"instances":[]}"#.to_owned()));
        let mut serving = JoinSet::new();
        let served = Arc::clone(&text);
        serving.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let text = served.lock().unwrap_or_else(PoisonError::into_inner).clone();
                answer(stream, &text).await;
            }
        });
        Self { address, text, _serving: serving }
    }

    /// Replaces the list.
    pub(crate) fn set(&self, list: &Value) {
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = list.to_string();
    }
}

/// Answers the only request of a connection; errors are ignored, as the client retries.
async fn answer(mut stream: TcpStream, text: &str) {
    let mut head = [0; 4096];
    let _ = stream.read(&mut head).await;
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{text}",
        text.len()
    );
    let _ = stream.write_all(answer.as_bytes()).await;
}
