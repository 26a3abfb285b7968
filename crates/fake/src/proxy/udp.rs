//! Links that carry UDP packets.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::proxy::link::Direction;
use crate::proxy::link::Link;

/// The largest packet.
const PACKET: usize = 64 << 10;
/// Packets that wait for their delay in one direction of a link.
const DELAYED: usize = 1024;
/// Clients of one link.
const CLIENTS: usize = 256;

/// One client of a link: packets to the target leave from its own socket.
struct Client {
    socket: Arc<UdpSocket>,
    generation: u64,
    /// The task that carries packets back.
    task: AbortHandle,
}

/// A packet on its way.
struct Packet {
    bytes: Vec<u8>,
    socket: Arc<UdpSocket>,
    /// The address to send to, unless the socket is connected.
    address: Option<SocketAddr>,
}

impl Packet {
    async fn send(&self) {
        let _ = match self.address {
            Some(address) => self.socket.send_to(&self.bytes, address).await,
            None => self.socket.send(&self.bytes).await,
        };
    }
}

/// A packet that waits for its delay.
struct Delayed {
    due: Instant,
    packet: Packet,
}

/// Packets that wait for their delay, oldest first.
#[derive(Default)]
struct Queue {
    packets: VecDeque<Delayed>,
}

impl Queue {
    /// Sends a packet, at once if there is no delay.
    async fn carry(&mut self, delay: Duration, packet: Packet) {
        if delay.is_zero() && self.packets.is_empty() {
            packet.send().await;
        } else if self.packets.len() < DELAYED {
            self.packets.push_back(Delayed { due: Instant::now() + delay, packet });
        }
    }

    /// Waits until the first packet is due and returns it; waits for ever if there is none.
    async fn next(&mut self) -> Option<Packet> {
        match self.packets.front() {
            Some(delayed) => tokio::time::sleep_until(delayed.due).await,
            None => std::future::pending().await,
        }
        self.packets.pop_front().map(|delayed| delayed.packet)
    }
}

/// Carries the packets of a link until its socket breaks.
pub(super) async fn run(socket: UdpSocket, link: Arc<Link>) {
    let socket = Arc::new(socket);
    let mut clients =
        Clients { link: Arc::clone(&link), known: IndexMap::new(), tasks: JoinSet::new() };
    let mut queue = Queue::default();
    let mut buffer = vec![0; PACKET];
    loop {
        let (count, address) = tokio::select! {
            Some(packet) = queue.next() => {
                packet.send().await;
                continue;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok(received) => received,
                Err(_) => continue,
            },
        };
        let Ok(client) = clients.get(&socket, address).await else { continue };
        let faults = link.faults();
        if !faults.passes(Direction::To, client.generation) {
            link.count_dropped(Direction::To);
            continue;
        }
        link.count(Direction::To, count);
        let socket = Arc::clone(&client.socket);
        let bytes = buffer[..count].to_vec();
        queue.carry(faults.delay, Packet { bytes, socket, address: None }).await;
    }
}

/// All clients of a link.
struct Clients {
    link: Arc<Link>,
    known: IndexMap<SocketAddr, Client>,
    tasks: JoinSet<()>,
}

impl Clients {
    /// Returns the client of an address; a new one may take the place of the oldest.
    async fn get(&mut self, socket: &Arc<UdpSocket>, address: SocketAddr) -> io::Result<&Client> {
        if !self.known.contains_key(&address) {
            self.make_room();
            let client = self.connect(socket, address).await?;
            self.known.insert(address, client);
        }
        Ok(&self.known[&address])
    }

    fn make_room(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        if self.known.len() < CLIENTS {
            return;
        }
        if let Some((_, oldest)) = self.known.shift_remove_index(0) {
            oldest.task.abort();
        }
    }

    async fn connect(&mut self, near: &Arc<UdpSocket>, address: SocketAddr) -> io::Result<Client> {
        let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        socket.connect(self.link.target).await?;
        let socket = Arc::new(socket);
        let generation = self.link.faults().generation;
        let way = Back {
            target: Arc::clone(&socket),
            client: Arc::clone(near),
            address,
            generation,
            link: Arc::clone(&self.link),
        };
        let task = self.tasks.spawn(way.run());
        Ok(Client { socket, generation, task })
    }
}

/// The way of packets from the target back to one client.
struct Back {
    target: Arc<UdpSocket>,
    client: Arc<UdpSocket>,
    address: SocketAddr,
    generation: u64,
    link: Arc<Link>,
}

impl Back {
    async fn run(self) {
        let mut queue = Queue::default();
        let mut buffer = vec![0; PACKET];
        loop {
            let count = tokio::select! {
                Some(packet) = queue.next() => {
                    packet.send().await;
                    continue;
                }
                received = self.target.recv(&mut buffer) => match received {
                    Ok(count) => count,
                    Err(_) => continue,
                },
            };
            let faults = self.link.faults();
            if !faults.passes(Direction::Back, self.generation) {
                self.link.count_dropped(Direction::Back);
                continue;
            }
            self.link.count(Direction::Back, count);
            let socket = Arc::clone(&self.client);
            let bytes = buffer[..count].to_vec();
            let address = Some(self.address);
            queue.carry(faults.delay, Packet { bytes, socket, address }).await;
        }
    }
}
