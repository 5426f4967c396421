//! Long random walks: machines are killed, lose power during a sync, lose their disks, are replaced, leave and are
//! partitioned, while operators repeatedly send orders to several machines.

use hub::consensus::{DisabledConsensusGuards, Input};

use super::{
    cluster::{Cluster, SyncResult, applied_orders, timing},
    rng::Rng,
};

/// The parameters of a walk.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub machines: usize,
    pub zones: usize,
    pub target_members: usize,
    pub steps: usize,
    pub guards: DisabledConsensusGuards,
}

struct Walk {
    cluster: Cluster,
    rng: Rng,
    zones: usize,
    /// For each order the number of orders that it is based on; a repeated order keeps its base.
    orders: Vec<usize>,
}

impl Walk {
    fn any_running(&mut self) -> Option<usize> {
        let running = self.cluster.running();
        (!running.is_empty()).then(|| running[self.rng.index_below(running.len())])
    }

    fn random_sync_result(&mut self) -> SyncResult {
        if self.rng.one_in(600) {
            return SyncResult::PowerLost { written: self.rng.one_in(2) };
        }
        SyncResult::Synced
    }

    fn step(&mut self) {
        match self.rng.index_below(1000) {
            0..=599 => self.deliver(),
            600..=839 => self.advance_time(),
            840..=929 => self.send_operator_request(),
            930..=949 => self.lose_message(),
            950..=955 => self.block_paths(),
            956..=969 => self.cluster.blocked_paths.clear(),
            970..=976 => self.fail_node(),
            977..=996 => self.repair(),
            997 => self.leave(),
            _ => self.restart_all(),
        }
    }

    fn deliver(&mut self) {
        let count = self.cluster.messages.len();
        if count == 0 {
            return;
        }
        // Mostly the oldest message, so that rounds complete.
        let position = if self.rng.one_in(4) { self.rng.index_below(count) } else { 0 };
        let sync_result = self.random_sync_result();
        if self.rng.one_in(30) {
            let duplicate = self.cluster.messages[position].clone();
            self.cluster.messages.push(duplicate);
        }
        self.cluster.deliver(position, sync_result);
    }

    fn advance_time(&mut self) {
        // Messages are mostly delivered before much time passes.
        if self.cluster.messages.len() > self.cluster.nodes.len() && !self.rng.one_in(12) {
            return self.deliver();
        }
        let duration = match self.rng.index_below(40) {
            0 => timing().hold,
            1 => timing().replace_after,
            _ => timing().heartbeat / 8,
        };
        self.cluster.elapse(duration);
        for index in self.cluster.running() {
            if !self.rng.one_in(5) {
                let sync_result = self.random_sync_result();
                self.cluster.input_with(index, Input::Tick, None, sync_result);
            }
        }
    }

    fn send_operator_request(&mut self) {
        let Some(index) = self.any_running() else { return };
        if self.rng.one_in(4) {
            return self.cluster.read(index);
        }
        if self.rng.one_in(3) {
            let after = self.newest_order_count().saturating_sub(self.rng.index_below(2));
            self.orders.push(after);
        }
        // One of the newest orders, sent for the first time or again, by one of two operators.
        let id = self.orders.len().saturating_sub(self.rng.index_below(4)).max(1);
        let sync_result = self.random_sync_result();
        self.cluster.order(index, id as u32, self.orders[id - 1], sync_result);
    }

    /// The largest number of orders in an image on any disk.
    fn newest_order_count(&self) -> usize {
        let images = self.cluster.nodes.iter().filter_map(|n| n.disk.image.as_ref());
        images.map(|i| applied_orders(i).len()).max().unwrap_or(0)
    }

    fn lose_message(&mut self) {
        let count = self.cluster.messages.len();
        if count > 0 {
            let position = self.rng.index_below(count);
            self.cluster.messages.remove(position);
        }
    }

    fn block_paths(&mut self) {
        let count = self.cluster.nodes.len();
        let (machine, other) = (self.rng.index_below(count), self.rng.index_below(count));
        self.cluster.blocked_paths.push((machine, other));
        if self.rng.one_in(2) {
            self.cluster.blocked_paths.push((other, machine));
        }
        if self.rng.one_in(3) {
            // Isolated from all others.
            for third in 0..count {
                self.cluster.blocked_paths.push((machine, third));
                self.cluster.blocked_paths.push((third, machine));
            }
        }
    }

    fn fail_node(&mut self) {
        let Some(index) = self.any_running() else { return };
        match self.rng.index_below(4) {
            0 => self.cluster.kill(index),
            1 => {
                self.wipe(index);
            }
            2 => {
                if self.wipe(index) {
                    self.cluster.start(index);
                }
            }
            _ => self.replace(index),
        }
    }

    /// Wipes a disk, if that leaves a quorum of disks for every image that may be the newest; returns whether it did.
    fn wipe(&mut self, index: usize) -> bool {
        let allowed = self.cluster.tolerates_loss_of(index);
        if allowed {
            self.cluster.kill(index);
            self.cluster.wipe(index);
        }
        allowed
    }

    /// Removes a machine for good and adds an empty one at another address.
    fn replace(&mut self, index: usize) {
        if self.cluster.nodes.len() < 14 && self.wipe(index) {
            self.cluster.nodes[index].removed = true;
            self.cluster.add(self.zones, false);
        }
    }

    fn repair(&mut self) {
        let down = |i: &usize| self.cluster.nodes[*i].core.is_none() && !self.cluster.nodes[*i].removed;
        let down: Vec<usize> = (0..self.cluster.nodes.len()).filter(down).collect();
        for index in self.cluster.running() {
            if self.cluster.nodes[index].leaving {
                self.cluster.kill(index);
            }
        }
        if !down.is_empty() {
            let index = down[self.rng.index_below(down.len())];
            self.cluster.start(index);
        }
    }

    fn leave(&mut self) {
        let Some(index) = self.any_running() else { return };
        self.cluster.leave(index);
        if self.rng.one_in(2) {
            self.cluster.kill(index);
        }
    }

    /// Kills and restarts all processes at the same time; the disks are kept.
    fn restart_all(&mut self) {
        if !self.rng.one_in(4) {
            return;
        }
        for index in self.cluster.running() {
            self.cluster.kill(index);
        }
        for index in 0..self.cluster.nodes.len() {
            self.cluster.start(index);
        }
    }
}

/// Runs one walk. Returns the number of acknowledged orders, or a description of the first violation.
pub fn walk(seed: u64, plan: Plan) -> Result<u64, String> {
    let mut cluster = Cluster::new(plan.machines, plan.zones, plan.target_members, plan.guards);
    cluster.stabilize();
    cluster.reseed(seed);
    let rng = Rng::new(seed);
    let mut walk = Walk { cluster, rng, zones: plan.zones, orders: vec![0] };
    for step in 0..plan.steps {
        walk.step();
        if let Some(first) = walk.cluster.monitor.violations.first() {
            let state = super::cluster::describe(&walk.cluster);
            return Err(format!("seed {seed}, step {step}: {first}\n{state:#?}"));
        }
    }
    let recovered = walk.cluster.recovers();
    if let Some(first) = walk.cluster.monitor.violations.first() {
        return Err(format!("seed {seed}, afterwards: {first}"));
    }
    if !recovered {
        return Err(format!("seed {seed}: no order is taken any more\n{:#?}", super::cluster::describe(&walk.cluster)));
    }
    Ok(walk.cluster.monitor.acknowledged_count())
}
