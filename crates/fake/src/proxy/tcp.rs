//! Links that carry TCP connections.

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

/// Bytes carried at once.
const BUFFER: usize = 16 << 10;

/// Carries the connections of a link until the listener breaks.
pub(super) async fn run(listener: TcpListener, link: Arc<Link>) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                tasks.spawn(carry(client, Arc::clone(&link)));
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn carry(mut client: TcpStream, link: Arc<Link>) {
    let generation = link.faults().generation;
    if link.faults().is_cut() {
        reset(&client);
        return;
    }
    let Ok(mut target) = TcpStream::connect(link.target).await else {
        reset(&client);
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (target_read, target_write) = target.split();
    let to = Flow::new(&link, Direction::To, generation);
    let back = Flow::new(&link, Direction::Back, generation);
    let copied =
        tokio::try_join!(to.copy(client_read, target_write), back.copy(target_read, client_write));
    if copied.is_err() {
        reset(&client);
        reset(&target);
    }
}

/// Makes the stream send a reset when it is dropped.
fn reset(stream: &TcpStream) {
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
        let mut buffer = vec![0; BUFFER];
        loop {
            let read = from.read(&mut buffer).await;
            self.pass().await;
            let count = read?;
            if count == 0 {
                return into.shutdown().await;
            }
            into.write_all(&buffer[..count]).await?;
            self.link.count(self.direction, count);
        }
    }

    /// Waits for the delay and then until the flow may pass, which is never if it is silent.
    async fn pass(&mut self) {
        let delay = self.faults.borrow().delay;
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        let (direction, generation) = (self.direction, self.generation);
        let passes = |faults: &Faults| faults.passes(direction, generation);
        let is_gone = self.faults.wait_for(passes).await.is_err();
        if is_gone {
            std::future::pending::<()>().await;
        }
    }
}
