//! Links for TCP connections.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::proxy::link::Direction;
use crate::proxy::link::Faults;
use crate::proxy::link::Link;

/// The length in bytes of the buffer of a flow.
const BUFFER_BYTES: usize = 16 << 10;

/// Accepts and forwards the connections of a link; runs until it is dropped.
pub(super) async fn run(listener: TcpListener, link: Arc<Link>) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                tasks.spawn(forward(client, Arc::clone(&link)));
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn forward(mut client: TcpStream, link: Arc<Link>) {
    let generation = link.faults().generation;
    if link.faults().is_cut() {
        reset_on_drop(&client);
        return;
    }
    let Ok(mut target) = TcpStream::connect(link.target).await else {
        reset_on_drop(&client);
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (target_read, target_write) = target.split();
    let to_target = Flow::new(&link, Direction::ToTarget, generation);
    let to_client = Flow::new(&link, Direction::ToClient, generation);
    let copied = tokio::try_join!(
        to_target.copy(client_read, target_write),
        to_client.copy(target_read, client_write)
    );
    if copied.is_err() {
        reset_on_drop(&client);
        reset_on_drop(&target);
    }
}

/// Makes the stream send a TCP reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One direction of one connection.
struct Flow<'a> {
    link: &'a Link,
    faults: watch::Receiver<Faults>,
    direction: Direction,
    generation: u64,
}

impl<'a> Flow<'a> {
    fn new(link: &'a Link, direction: Direction, generation: u64) -> Self {
        Self { link, faults: link.watch(), direction, generation }
    }

    async fn copy(mut self, mut from: ReadHalf<'_>, mut into: WriteHalf<'_>) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            self.wait_until_open().await;
            let count = read?;
            if count == 0 {
                return into.shutdown().await;
            }
            into.write_all(&buffer[..count]).await?;
            self.link.count(self.direction, count);
        }
    }

    /// Waits for the delay and then until the flow may pass, which never happens on a stalled flow.
    async fn wait_until_open(&mut self) {
        let delay = self.faults.borrow().delay;
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        let (direction, generation) = (self.direction, self.generation);
        let passes = |faults: &Faults| faults.passes(direction, generation);
        let is_closed = self.faults.wait_for(passes).await.is_err();
        if is_closed {
            std::future::pending::<()>().await;
        }
    }
}
