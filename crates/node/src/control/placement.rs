//! Zones and instances that operators take out and back, and routers that leave.
//!
//! Each is a register that gossip spreads at once, so that an order works while the log is down; the log keeps it for
//! routers that start empty.

use std::time::Duration;

use base::EventKind;
use base::Name;
use front::Placement;
use indexmap::IndexSet;
use mesh::Register;
use plat::Log;
use tokio::sync::oneshot;
use tokio::time;
use wire::Frame;
use wire::PlacementOrder;

use super::Control;
use crate::input::Input;
use crate::tail::PLACEMENT_STREAM;

/// Prefix of registers that tell whether a router leaves.
const LEAVING: &str = "leaving/";
/// Value of a register whose subject is out or leaving.
const OUT: &[u8] = b"out";
/// Value of a register whose subject is back.
const BACK: &[u8] = b"back";
/// Pause before the log is asked again to keep an order.
const KEEP_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait until a member or the log has an order too.
const HEARD_TIMEOUT: Duration = Duration::from_secs(1);

/// An order that no other process is known to have.
#[derive(Debug)]
pub(super) struct PendingOrder {
    order: PlacementOrder,
    deadline: Duration,
    reply: oneshot::Sender<Option<u64>>,
}

/// Returns whether a runner or router is out, by itself or with its zone.
pub(super) fn is_out(out: &IndexSet<Name>, zone: &Name, name: &Name) -> bool {
    out.contains(zone_key(zone).as_str()) || out.contains(&instance_key(name))
}

fn zone_key(zone: &Name) -> String {
    format!("zone/{zone}")
}

/// Returns the key of an instance that is out.
pub(super) fn instance_key(name: &Name) -> Name {
    Name::from(format!("instance/{name}").as_str())
}

impl Control {
    /// Takes a zone or an instance out or back; answered once a member or the log has the order too.
    pub(super) fn place(&mut self, placement: &Placement, reply: oneshot::Sender<Option<u64>>) {
        let key = Name::from(format!("{}/{}", placement.kind, placement.name).as_str());
        let known = self.mesh.registers().into_iter().find(|register| register.key == key);
        let counter = known.map_or(0, |register| register.counter) + 1;
        let kept = PlacementOrder { key, counter, out: placement.out, by: self.me.clone() };
        let deadline = self.now() + HEARD_TIMEOUT;
        self.issue(kept, deadline, reply);
    }

    /// Takes in that a member or the log has an order of this router, which answers the operator.
    pub(super) fn order_heard(&mut self, order: &PlacementOrder) {
        while let Some(index) =
            self.pending_orders.iter().position(|pending| pending.order == *order)
        {
            let pending = self.pending_orders.swap_remove(index);
            let _unheard = pending.reply.send(Some(order.counter));
        }
    }

    /// Answers operators whose order nobody else has in time.
    pub(super) fn expire_orders(&mut self) {
        let now = self.now();
        while let Some(index) =
            self.pending_orders.iter().position(|pending| pending.deadline <= now)
        {
            let pending = self.pending_orders.swap_remove(index);
            let _unheard = pending.reply.send(None);
        }
    }

    /// Takes in an order that another router has taken, and tells it so.
    pub(super) fn order_received(&mut self, from: &Name, order: &PlacementOrder) {
        self.merge_order(order);
        let known = self.mesh.registers().into_iter().find(|register| register.key == order.key);
        let answer = match known.map(|register| order_of(&register)) {
            Some(newer) if newer != *order => Frame::PlacementOrder(newer),
            _ => Frame::PlacementAck(order.clone()),
        };
        self.mesh.send(from, answer);
    }

    /// Gives an order again above another one of the same subject that beats it and that this router did not know of.
    ///
    /// The other one may have the same counter: a router that has not heard of an order gives the next one the same.
    fn raise_orders(&mut self, newer: &PlacementOrder) {
        let register = register_of(newer);
        let overtaken = |pending: &PendingOrder| {
            pending.order.key == newer.key && register.supersedes(&register_of(&pending.order))
        };
        while let Some(index) = self.pending_orders.iter().position(overtaken) {
            let pending = self.pending_orders.swap_remove(index);
            let counter = newer.counter + 1;
            self.issue(
                PlacementOrder { counter, ..pending.order },
                pending.deadline,
                pending.reply,
            );
        }
    }

    fn issue(
        &mut self,
        order: PlacementOrder,
        deadline: Duration,
        reply: oneshot::Sender<Option<u64>>,
    ) {
        self.mesh.publish(register_of(&order));
        self.broadcast(&Frame::PlacementOrder(order.clone()));
        self.keep(&order);
        self.placed(&order);
        self.pending_orders.push(PendingOrder { order, deadline, reply });
    }

    /// Takes in an order that the log has kept.
    pub(super) fn placement_record(&mut self, body: &str) {
        let Ok(kept) = serde_json::from_str::<PlacementOrder>(body) else {
            log::warn!("node: a record of the placement stream is malformed");
            return;
        };
        self.merge_order(&kept);
    }

    fn merge_order(&mut self, order: &PlacementOrder) {
        self.raise_orders(order);
        let register = register_of(order);
        let known = self.mesh.registers().into_iter().find(|register| register.key == order.key);
        if is_order(&order.key) && known.is_none_or(|known| register.supersedes(&known)) {
            self.mesh.publish(register);
            self.placed(order);
        }
    }

    /// Takes in a register that gossip has brought.
    pub(super) fn registered(&mut self, register: &Register) {
        if register.key.as_str() == super::config::REGISTER {
            self.config_registered(register);
            return;
        }
        let state = if register.value == OUT { "out" } else { "back" };
        self.note(
            EventKind::Placement,
            &format!("{} is {state}, counter {}", register.key, register.counter),
        );
        self.review();
    }

    /// Returns all orders about zones and instances, as the log keeps them.
    pub(super) fn kept_orders(&self) -> Vec<String> {
        let registers = self.mesh.registers().into_iter();
        let orders = registers.filter(|register| is_order(&register.key));
        orders.map(|register| encode(&order_of(&register))).collect()
    }

    /// Returns the keys of all that is out.
    pub(super) fn out(&self) -> IndexSet<Name> {
        let registers = self.mesh.registers().into_iter();
        registers
            .filter(|register| register.value == OUT && is_order(&register.key))
            .map(|register| register.key)
            .collect()
    }

    /// Returns whether a router has said that it leaves.
    pub(super) fn is_leaving(&self, name: &Name) -> bool {
        let key = format!("{LEAVING}{name}");
        self.mesh
            .registers()
            .iter()
            .any(|register| register.key.as_str() == key && register.value == OUT)
    }

    /// Tells the fleet whether this router leaves.
    pub(super) fn publish_leaving(&self, leaving: bool) {
        let key = Name::from(format!("{LEAVING}{}", self.me).as_str());
        let counter = self.shared.clock.now().millis();
        self.mesh.publish(register_of(&PlacementOrder {
            key,
            counter,
            out: leaving,
            by: self.me.clone(),
        }));
    }

    fn placed(&mut self, kept: &PlacementOrder) {
        let state = if kept.out { "out" } else { "back" };
        log::info!("node: {} is {state}", kept.key);
        self.note(
            EventKind::Placement,
            &format!("{} is {state}, counter {}", kept.key, kept.counter),
        );
        self.review();
    }

    fn keep(&mut self, kept: &PlacementOrder) {
        let body = encode(kept);
        let log = self.log.clone();
        let feed = self.ports.feed.clone();
        let order = kept.clone();
        self.tasks.spawn(async move {
            keep_in_log(log, body).await;
            drop(feed.send(Input::OrderKept(order)).await);
        });
    }
}

/// Appends an order until the log has taken it; a second copy changes nothing.
async fn keep_in_log(log: Log, body: String) {
    while log.append(PLACEMENT_STREAM, &body).await.is_err() {
        time::sleep(KEEP_PAUSE).await;
    }
}

fn order_of(register: &Register) -> PlacementOrder {
    PlacementOrder {
        key: register.key.clone(),
        counter: register.counter,
        out: register.value == OUT,
        by: register.by.clone(),
    }
}

/// Returns whether a register is an order about a zone or instance.
fn is_order(key: &Name) -> bool {
    key.as_str().starts_with("zone/") || key.as_str().starts_with("instance/")
}

fn encode(kept: &PlacementOrder) -> String {
    serde_json::to_string(kept).expect("an order has only plain fields")
}

fn register_of(kept: &PlacementOrder) -> Register {
    Register {
        key: kept.key.clone(),
        counter: kept.counter,
        wins_ties: kept.out,
        value: if kept.out { OUT } else { BACK }.to_vec(),
        by: kept.by.clone(),
    }
}
