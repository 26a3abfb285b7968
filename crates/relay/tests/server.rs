//! The number of connections that a busy listener accepts.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body::Body;
use http_body::Frame;
use relay::Handler;
use relay::Listener;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::task::JoinSet;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

/// Number of polls of a body before its end; every second one yields a piece of data.
const BODY_POLLS: usize = 20;
/// Number of callers that connect at the same time.
const CALLERS: usize = 400;
/// Number of idle connections that are kept open.
const KEPT: usize = 4;
/// Number of callers that connect at the same time beside them.
const CALLERS_AT_ONCE: usize = 8;
/// Maximum number of connections that wait to be accepted.
const WAITING: u32 = 1_024;

/// The numbers of requests that have begun and ended.
#[derive(Debug, Default)]
struct RequestCount {
    begun: Cell<usize>,
    ended: Cell<usize>,
    /// The maximum number of requests that ran at the same time.
    max_concurrent: Cell<usize>,
}

/// A body that arrives in pieces, each ready only after the other tasks were polled.
struct PiecewiseBody {
    count: Rc<RequestCount>,
    left: usize,
}

impl Body for PiecewiseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            self.count.ended.set(self.count.ended.get() + 1);
            return Poll::Ready(None);
        }
        self.left -= 1;
        context.waker().wake_by_ref();
        if self.left.is_multiple_of(2) {
            return Poll::Pending;
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"piece")))))
    }
}

fn handler(count: &Rc<RequestCount>) -> Handler<PiecewiseBody> {
    let count = Rc::clone(count);
    Rc::new(move |_| {
        let count = Rc::clone(&count);
        Box::pin(async move {
            count.begun.set(count.begun.get() + 1);
            count
                .max_concurrent
                .set(count.max_concurrent.get().max(count.begun.get() - count.ended.get()));
            Response::new(PiecewiseBody { count, left: BODY_POLLS })
        })
    })
}

async fn count_pieces(address: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("written");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("read");
    answer.windows(5).filter(|window| window == b"piece").count()
}

#[test]
fn a_busy_listener_accepts_no_faster_than_it_serves() {
    let count = Rc::new(RequestCount::default());
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let callers = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let callers = callers.expect("a runtime");
    let server = runtime::Builder::new_current_thread().enable_all().build();
    let (stop, served) = (CancellationToken::new(), Rc::clone(&count));
    LocalSet::new().block_on(&server.expect("a runtime"), async move {
        let listener = Listener::bind(loopback, WAITING, Duration::from_secs(5)).expect("bound");
        let address = listener.address().expect("an address");
        // All callers have sent their requests before the first is accepted.
        let mut requests = JoinSet::new();
        for _ in 0..CALLERS {
            requests.spawn_on(count_pieces(address), callers.handle());
        }
        std::thread::sleep(Duration::from_millis(300));
        let mut serving = JoinSet::new();
        serving.spawn_local(listener.serve(handler(&served), stop.clone()));
        let pieces = requests.join_all().await;
        assert_eq!(pieces, [BODY_POLLS / 2; CALLERS]);
        stop.cancel();
        serving.join_all().await;
        callers.shutdown_background();
    });
    assert_eq!(count.ended.get(), CALLERS);
    assert!(
        count.max_concurrent.get() <= 2 * BODY_POLLS,
        "{} requests ran at once",
        count.max_concurrent.get()
    );
}

/// Opens a connection, gets one answer and keeps the connection open.
async fn kept(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("written");
    let mut answer = Vec::new();
    while !answer.ends_with(b"0\r\n\r\n") {
        stream.read_buf(&mut answer).await.expect("read");
    }
    stream
}

/// Guards against a listener that counts ended connections as open and closes idle ones for lack of room.
#[test]
fn ended_connections_take_no_room_from_idle_ones() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let count = Rc::new(RequestCount::default());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(any, WAITING, Duration::from_secs(5)).expect("bound");
        let listener = listener.max_connections(KEPT + 3 * CALLERS_AT_ONCE);
        let address = listener.address().expect("an address");
        let mut tasks = JoinSet::new();
        let stop = CancellationToken::new();
        tasks.spawn_local(listener.serve(handler(&count), stop.clone()));
        let mut idle = Vec::new();
        for _ in 0..KEPT {
            idle.push(kept(address).await);
        }
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS_AT_ONCE {
            callers.spawn_local(async move {
                for _ in 0..CALLERS {
                    count_pieces(address).await;
                }
            });
        }
        while callers.join_next().await.is_some() {}
        for stream in &mut idle {
            let mut byte = [0];
            let read = tokio::time::timeout(Duration::from_millis(1), stream.read(&mut byte)).await;
            assert!(read.is_err(), "an idle connection was closed");
        }
        stop.cancel();
        drop(idle);
        while tasks.join_next().await.is_some() {}
    });
}
