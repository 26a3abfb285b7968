//! Links for UDP packets.

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

/// The maximum length of a packet in bytes.
const MAX_PACKET_BYTES: usize = 64 << 10;
/// The maximum number of delayed packets in one direction of a link; later ones are dropped.
const MAX_DELAYED_PACKETS: usize = 1024;
/// The maximum number of clients of one link.
const MAX_CLIENTS: usize = 256;

/// One client of a link, with the socket that sends its packets to the target.
struct Client {
    socket: Arc<UdpSocket>,
    generation: u64,
    /// The task that forwards packets from the target to the client.
    task: AbortHandle,
}

/// A packet to send.
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

/// A packet that is held back by the delay of the link.
struct Delayed {
    due: Instant,
    packet: Packet,
}

/// The delayed packets, oldest first.
#[derive(Default)]
struct Queue {
    packets: VecDeque<Delayed>,
}

impl Queue {
    /// Sends a packet immediately if there is no delay and no packet before it, and queues it otherwise.
    async fn send_delayed(&mut self, delay: Duration, packet: Packet) {
        if delay.is_zero() && self.packets.is_empty() {
            packet.send().await;
        } else if self.packets.len() < MAX_DELAYED_PACKETS {
            self.packets.push_back(Delayed { due: Instant::now() + delay, packet });
        }
    }

    /// Waits until the first packet is due and returns it; never returns while there is none.
    async fn next(&mut self) -> Option<Packet> {
        match self.packets.front() {
            Some(delayed) => tokio::time::sleep_until(delayed.due).await,
            None => std::future::pending().await,
        }
        self.packets.pop_front().map(|delayed| delayed.packet)
    }
}

/// Forwards the packets of a link; runs until it is dropped.
pub(super) async fn run(socket: UdpSocket, link: Arc<Link>) {
    let socket = Arc::new(socket);
    let mut clients =
        Clients { link: Arc::clone(&link), by_address: IndexMap::new(), tasks: JoinSet::new() };
    let mut queue = Queue::default();
    let mut buffer = vec![0; MAX_PACKET_BYTES];
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
        if !faults.passes(Direction::ToTarget, client.generation) {
            link.count_dropped(Direction::ToTarget);
            continue;
        }
        link.count(Direction::ToTarget, count);
        let socket = Arc::clone(&client.socket);
        let bytes = buffer[..count].to_vec();
        queue.send_delayed(faults.delay, Packet { bytes, socket, address: None }).await;
    }
}

/// All clients of a link.
struct Clients {
    link: Arc<Link>,
    by_address: IndexMap<SocketAddr, Client>,
    tasks: JoinSet<()>,
}

impl Clients {
    /// Returns the client of an address; a new one may evict the oldest.
    async fn get(&mut self, socket: &Arc<UdpSocket>, address: SocketAddr) -> io::Result<&Client> {
        if !self.by_address.contains_key(&address) {
            self.evict_if_full();
            let client = self.connect(socket, address).await?;
            self.by_address.insert(address, client);
        }
        Ok(&self.by_address[&address])
    }

    fn evict_if_full(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        if self.by_address.len() < MAX_CLIENTS {
            return;
        }
        if let Some((_, oldest)) = self.by_address.shift_remove_index(0) {
            oldest.task.abort();
        }
    }

    async fn connect(
        &mut self,
        link_socket: &Arc<UdpSocket>,
        address: SocketAddr,
    ) -> io::Result<Client> {
        let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        socket.connect(self.link.target).await?;
        let socket = Arc::new(socket);
        let generation = self.link.faults().generation;
        let return_path = ReturnPath {
            target: Arc::clone(&socket),
            client: Arc::clone(link_socket),
            address,
            generation,
            link: Arc::clone(&self.link),
        };
        let task = self.tasks.spawn(return_path.run());
        Ok(Client { socket, generation, task })
    }
}

/// Forwards packets from the target to one client.
struct ReturnPath {
    target: Arc<UdpSocket>,
    client: Arc<UdpSocket>,
    address: SocketAddr,
    generation: u64,
    link: Arc<Link>,
}

impl ReturnPath {
    async fn run(self) {
        let mut queue = Queue::default();
        let mut buffer = vec![0; MAX_PACKET_BYTES];
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
            if !faults.passes(Direction::ToClient, self.generation) {
                self.link.count_dropped(Direction::ToClient);
                continue;
            }
            self.link.count(Direction::ToClient, count);
            let socket = Arc::clone(&self.client);
            let bytes = buffer[..count].to_vec();
            let address = Some(self.address);
            queue.send_delayed(faults.delay, Packet { bytes, socket, address }).await;
        }
    }
}
