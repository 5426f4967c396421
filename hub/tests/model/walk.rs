//! Long random walks: machines are killed, lose power in the middle of a sync, lose their disks, are replaced, leave and
//! are cut off, while operators send orders again and again to several machines.

use hub::consensus::{Guards, Input};

use super::{
    dice::Dice,
    world::{DiskFate, World, history, timing},
};

/// How a walk is set up.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub machines: usize,
    pub zones: usize,
    pub target_members: usize,
    pub steps: usize,
    pub guards: Guards,
}

struct Walk {
    world: World,
    dice: Dice,
    zones: usize,
    /// What each order follows; an order is sent again as it was.
    orders: Vec<usize>,
}

impl Walk {
    fn any_running(&mut self) -> Option<usize> {
        let all = self.world.running();
        (!all.is_empty()).then(|| all[self.dice.below(all.len())])
    }

    fn fate(&mut self) -> DiskFate {
        if self.dice.chance(600) {
            return DiskFate::PowerLost { written: self.dice.chance(2) };
        }
        DiskFate::Synced
    }

    fn step(&mut self) {
        match self.dice.below(1000) {
            0..=599 => self.deliver(),
            600..=839 => self.time(),
            840..=929 => self.operator(),
            930..=949 => self.lose_message(),
            950..=955 => self.cut(),
            956..=969 => self.world.cuts.clear(),
            970..=976 => self.trouble(),
            977..=996 => self.repair(),
            997 => self.leave(),
            _ => self.herd(),
        }
    }

    fn deliver(&mut self) {
        let count = self.world.messages.len();
        if count == 0 {
            return;
        }
        // Mostly near the front, so that rounds come to an end.
        let at = if self.dice.chance(4) { self.dice.below(count) } else { 0 };
        let fate = self.fate();
        if self.dice.chance(30) {
            let again = self.world.messages[at].clone();
            self.world.messages.push(again);
        }
        self.world.deliver(at, fate);
    }

    fn time(&mut self) {
        // Messages mostly come before much time goes on.
        if self.world.messages.len() > self.world.nodes.len() && !self.dice.chance(12) {
            return self.deliver();
        }
        let span = match self.dice.below(40) {
            0 => timing().hold,
            1 => timing().replace_after,
            _ => timing().heartbeat / 8,
        };
        self.world.elapse(span);
        for index in self.world.running() {
            if !self.dice.chance(5) {
                let fate = self.fate();
                self.world.input_with(index, Input::Tick, None, fate);
            }
        }
    }

    fn operator(&mut self) {
        let Some(index) = self.any_running() else { return };
        if self.dice.chance(4) {
            return self.world.read(index);
        }
        if self.dice.chance(3) {
            let after = self.newest_length().saturating_sub(self.dice.below(2));
            self.orders.push(after);
        }
        // One of the newest orders, sent for the first time or again, by one of two operators.
        let id = self.orders.len().saturating_sub(self.dice.below(4)).max(1);
        let fate = self.fate();
        self.world.order(index, id as u32, self.orders[id - 1], fate);
    }

    /// How many orders the newest image on any disk holds.
    fn newest_length(&self) -> usize {
        let images = self.world.nodes.iter().filter_map(|n| n.disk.image.as_ref());
        images.map(|i| history(i).len()).max().unwrap_or(0)
    }

    fn lose_message(&mut self) {
        let count = self.world.messages.len();
        if count > 0 {
            let at = self.dice.below(count);
            self.world.messages.remove(at);
        }
    }

    fn cut(&mut self) {
        let count = self.world.nodes.len();
        let (one, other) = (self.dice.below(count), self.dice.below(count));
        self.world.cuts.push((one, other));
        if self.dice.chance(2) {
            self.world.cuts.push((other, one));
        }
        if self.dice.chance(3) {
            // Cut off from everybody.
            for third in 0..count {
                self.world.cuts.push((one, third));
                self.world.cuts.push((third, one));
            }
        }
    }

    fn trouble(&mut self) {
        let Some(index) = self.any_running() else { return };
        match self.dice.below(4) {
            0 => self.world.kill(index),
            1 => {
                self.wipe(index);
            }
            2 => {
                if self.wipe(index) {
                    self.world.start(index);
                }
            }
            _ => self.replace(index),
        }
    }

    /// A disk is lost, where that leaves a quorum of disks to every image that may be the newest.
    fn wipe(&mut self, index: usize) -> bool {
        let allowed = self.world.bears_loss_of(index);
        if allowed {
            self.world.kill(index);
            self.world.wipe(index);
        }
        allowed
    }

    /// A machine is gone for good, and an empty one comes at another address.
    fn replace(&mut self, index: usize) {
        if self.world.nodes.len() < 14 && self.wipe(index) {
            self.world.nodes[index].removed = true;
            self.world.add(self.zones, false);
        }
    }

    fn repair(&mut self) {
        let down = |i: &usize| self.world.nodes[*i].core.is_none() && !self.world.nodes[*i].removed;
        let down: Vec<usize> = (0..self.world.nodes.len()).filter(down).collect();
        for index in self.world.running() {
            if self.world.nodes[index].leaving {
                self.world.kill(index);
            }
        }
        if !down.is_empty() {
            let index = down[self.dice.below(down.len())];
            self.world.start(index);
        }
    }

    fn leave(&mut self) {
        let Some(index) = self.any_running() else { return };
        self.world.leave(index);
        if self.dice.chance(2) {
            self.world.kill(index);
        }
    }

    /// Every process is killed at the same moment; disks are kept.
    fn herd(&mut self) {
        if !self.dice.chance(4) {
            return;
        }
        for index in self.world.running() {
            self.world.kill(index);
        }
        for index in 0..self.world.nodes.len() {
            self.world.start(index);
        }
    }
}

/// One walk: the first violation, if there is one.
pub fn walk(seed: u64, plan: Plan) -> Result<u64, String> {
    let mut world = World::new(plan.machines, plan.zones, plan.target_members, plan.guards);
    world.settle();
    world.reseed(seed);
    let dice = Dice::new(seed);
    let mut walk = Walk { world, dice, zones: plan.zones, orders: vec![0] };
    for step in 0..plan.steps {
        walk.step();
        if let Some(first) = walk.world.monitor.violations.first() {
            let state = super::world::describe(&walk.world);
            return Err(format!("seed {seed}, step {step}: {first}\n{state:#?}"));
        }
    }
    let recovered = walk.world.recovers();
    if let Some(first) = walk.world.monitor.violations.first() {
        return Err(format!("seed {seed}, afterwards: {first}"));
    }
    if !recovered {
        return Err(format!("seed {seed}: no order is taken any more\n{:#?}", super::world::describe(&walk.world)));
    }
    Ok(walk.world.monitor.taken())
}
