//! Zones and instances that operators take out of service or return to it, and routers that leave.
//!
//! Each of these states is a register that gossip spreads at once, so that an order takes effect while the log is
//! unavailable. The log stores the orders about zones and instances for routers that start without state.

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

/// Prefix of the keys of registers that hold whether a router leaves.
const LEAVING_PREFIX: &str = "leaving/";
/// Value of a register whose subject is out of service or leaving.
const OUT_VALUE: &[u8] = b"out";
/// Value of a register whose subject is in service, or is not leaving.
const BACK_VALUE: &[u8] = b"back";
/// Delay before a failed append of an order is retried.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum wait until another member or the log has an order.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// An order of an operator that no other process has confirmed yet.
#[derive(Debug)]
pub(super) struct PendingOrder {
    order: PlacementOrder,
    deadline: Duration,
    /// Receives the counter of the order, or `None` when no other process confirmed it in time.
    reply: oneshot::Sender<Option<u64>>,
}

/// Returns whether a runner or router is out of service, by itself or with its zone.
pub(super) fn is_out_of_service(out: &IndexSet<Name>, zone: &Name, name: &Name) -> bool {
    out.contains(zone_key(zone).as_str()) || out.contains(&instance_key(name))
}

fn zone_key(zone: &Name) -> String {
    format!("zone/{zone}")
}

/// Returns the key of an instance among the names that are out of service.
pub(super) fn instance_key(name: &Name) -> Name {
    Name::from(format!("instance/{name}").as_str())
}

impl Control {
    /// Takes a zone or an instance out of service or returns it; replies once another member or the log has the order.
    pub(super) fn change_placement(
        &mut self,
        placement: &Placement,
        reply: oneshot::Sender<Option<u64>>,
    ) {
        let key = Name::from(format!("{}/{}", placement.kind, placement.name).as_str());
        let known = self.mesh.registers().into_iter().find(|register| register.key == key);
        let counter = known.map_or(0, |register| register.counter) + 1;
        let order = PlacementOrder { key, counter, out: placement.out, by: self.me.clone() };
        let deadline = self.now() + CONFIRM_TIMEOUT;
        self.issue_placement(order, deadline, reply);
    }

    /// Records that another member or the log has an order of this router, and replies to the operator.
    pub(super) fn confirm_order(&mut self, order: &PlacementOrder) {
        while let Some(index) =
            self.pending_orders.iter().position(|pending| pending.order == *order)
        {
            let pending = self.pending_orders.swap_remove(index);
            let _result = pending.reply.send(Some(order.counter));
        }
    }

    /// Replies to operators whose order no other process confirmed in time.
    pub(super) fn expire_orders(&mut self) {
        let now = self.now();
        while let Some(index) =
            self.pending_orders.iter().position(|pending| pending.deadline <= now)
        {
            let pending = self.pending_orders.swap_remove(index);
            let _result = pending.reply.send(None);
        }
    }

    /// Handles an order from another router, and confirms it or answers with the newer one.
    pub(super) fn handle_placement_order(&mut self, from: &Name, order: &PlacementOrder) {
        self.merge_order(order);
        let known = self.mesh.registers().into_iter().find(|register| register.key == order.key);
        let answer = match known.map(|register| decode_register(&register)) {
            Some(newer) if newer != *order => Frame::PlacementOrder(newer),
            _ => Frame::PlacementAck(order.clone()),
        };
        self.mesh.send(from, answer);
    }

    /// Reissues pending orders with a higher counter when an order for the same subject, of which this router did not
    /// know, supersedes them.
    ///
    /// The other order may have the same counter: a router that has not received an order gives its next one the same.
    fn reissue_orders(&mut self, newer: &PlacementOrder) {
        let register = encode_register(newer);
        let is_superseded = |pending: &PendingOrder| {
            pending.order.key == newer.key && register.supersedes(&encode_register(&pending.order))
        };
        while let Some(index) = self.pending_orders.iter().position(is_superseded) {
            let pending = self.pending_orders.swap_remove(index);
            let counter = newer.counter + 1;
            self.issue_placement(
                PlacementOrder { counter, ..pending.order },
                pending.deadline,
                pending.reply,
            );
        }
    }

    fn issue_placement(
        &mut self,
        order: PlacementOrder,
        deadline: Duration,
        reply: oneshot::Sender<Option<u64>>,
    ) {
        self.mesh.publish(encode_register(&order));
        self.broadcast(&Frame::PlacementOrder(order.clone()));
        self.store_order(&order);
        self.record_placement(&order);
        self.pending_orders.push(PendingOrder { order, deadline, reply });
    }

    /// Handles an order that was read from the log.
    pub(super) fn handle_placement_record(&mut self, body: &str) {
        let Ok(order) = serde_json::from_str::<PlacementOrder>(body) else {
            log::warn!("node: skipped a malformed record of the placement stream");
            return;
        };
        self.merge_order(&order);
    }

    fn merge_order(&mut self, order: &PlacementOrder) {
        self.reissue_orders(order);
        let register = encode_register(order);
        let known = self.mesh.registers().into_iter().find(|register| register.key == order.key);
        if is_order(&order.key) && known.is_none_or(|known| register.supersedes(&known)) {
            self.mesh.publish(register);
            self.record_placement(order);
        }
    }

    /// Handles a register that arrived by gossip.
    pub(super) fn handle_register(&mut self, register: &Register) {
        if register.key.as_str() == super::config::REGISTER {
            self.handle_config_register(register);
            return;
        }
        let state = if register.value == OUT_VALUE { "out" } else { "back" };
        self.record_event(
            EventKind::Placement,
            &format!("{} is {state}, counter {}", register.key, register.counter),
        );
        self.refresh();
    }

    /// Returns all orders about zones and instances, encoded for the log.
    pub(super) fn encoded_orders(&self) -> Vec<String> {
        let registers = self.mesh.registers().into_iter();
        let orders = registers.filter(|register| is_order(&register.key));
        orders.map(|register| encode(&decode_register(&register))).collect()
    }

    /// Returns the keys of all zones and instances that are out of service.
    pub(super) fn out_of_service(&self) -> IndexSet<Name> {
        let registers = self.mesh.registers().into_iter();
        registers
            .filter(|register| register.value == OUT_VALUE && is_order(&register.key))
            .map(|register| register.key)
            .collect()
    }

    /// Returns whether a router has announced that it leaves.
    pub(super) fn is_leaving(&self, name: &Name) -> bool {
        let key = format!("{LEAVING_PREFIX}{name}");
        self.mesh
            .registers()
            .iter()
            .any(|register| register.key.as_str() == key && register.value == OUT_VALUE)
    }

    /// Publishes to the fleet whether this router leaves.
    pub(super) fn publish_leaving(&self, leaving: bool) {
        let key = Name::from(format!("{LEAVING_PREFIX}{}", self.me).as_str());
        let counter = self.shared.clock.now().millis();
        self.mesh.publish(encode_register(&PlacementOrder {
            key,
            counter,
            out: leaving,
            by: self.me.clone(),
        }));
    }

    fn record_placement(&mut self, order: &PlacementOrder) {
        let state = if order.out { "out" } else { "back" };
        log::info!("node: {} is {state}", order.key);
        self.record_event(
            EventKind::Placement,
            &format!("{} is {state}, counter {}", order.key, order.counter),
        );
        self.refresh();
    }

    fn store_order(&mut self, order: &PlacementOrder) {
        let body = encode(order);
        let log = self.log.clone();
        let input_sender = self.ports.input_sender.clone();
        let order = order.clone();
        self.tasks.spawn(async move {
            append_until_stored(log, body).await;
            drop(input_sender.send(Input::OrderStored(order)).await);
        });
    }
}

/// Appends an order, with retries, until the log has accepted it; a duplicate has no effect.
async fn append_until_stored(log: Log, body: String) {
    while log.append(PLACEMENT_STREAM, &body).await.is_err() {
        time::sleep(APPEND_RETRY_DELAY).await;
    }
}

fn decode_register(register: &Register) -> PlacementOrder {
    PlacementOrder {
        key: register.key.clone(),
        counter: register.counter,
        out: register.value == OUT_VALUE,
        by: register.by.clone(),
    }
}

/// Returns whether a register holds an order about a zone or instance.
fn is_order(key: &Name) -> bool {
    key.as_str().starts_with("zone/") || key.as_str().starts_with("instance/")
}

fn encode(order: &PlacementOrder) -> String {
    serde_json::to_string(order).expect("an order serializes to JSON")
}

fn encode_register(order: &PlacementOrder) -> Register {
    Register {
        key: order.key.clone(),
        counter: order.counter,
        wins_ties: order.out,
        value: if order.out { OUT_VALUE } else { BACK_VALUE }.to_vec(),
        by: order.by.clone(),
    }
}
