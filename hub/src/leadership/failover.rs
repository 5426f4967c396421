//! Leaders of groups whose servers confirm commits themselves. Who leads is what the servers say; this hub only decides
//! who is to lead next, and which grants may stand. See docs/platform.md for why no acknowledged commit is lost.

use std::time::Duration;

use base::{
    position::Position,
    protocol::{Promotion, StatementKind},
    runtime::Component,
};
use wire::{Election, Group, Image};

use super::Leadership;

/// How many bits of a fencing token count the namings within a term.
const NAMING_BITS: u32 = 20;

/// For how long the duty of naming primaries rests when it goes from one control node to another and both are well: the
/// platform's users count on one holder in any span of this length.
const DUTY_REST: Duration = Duration::from_secs(3);

/// What a server that confirms showed lately.
struct PrimarySight {
    name: String,
    leads: bool,
    line: u64,
    place: Position,
    /// Neither draining nor gone nor in an emptied area.
    fit: bool,
    cold: u32,
}

impl Leadership {
    /// The servers of a group as read after `since`.
    fn sighted(&self, g: &Group, image: &Image, since: Duration) -> Vec<PrimarySight> {
        let talks = self.talks.borrow();
        let told = self.servers.borrow();
        let row = |s: &String| {
            let (asked, row) = talks.get(s)?.row?;
            let t = told.get(s)?;
            (asked >= since).then(|| PrimarySight {
                name: s.clone(),
                leads: row.is_primary,
                line: row.epoch,
                place: row.position,
                fit: !t.draining && !t.gone && !image.evacuated_zones.contains(&t.area),
                cold: (t.cold * 20.0) as u32,
            })
        };
        g.servers.iter().filter_map(row).collect()
    }

    fn primary(&self, g: &Group, image: &Image) -> Option<PrimarySight> {
        let since = self.env.now().saturating_sub(self.bounds.server_missed_after());
        self.sighted(g, image, since).into_iter().filter(|s| s.leads).max_by_key(|s| s.line)
    }

    /// For how long the middle one of those who look at a server has had a question to it unanswered. Where nobody
    /// listens at its address any more, waiting longer tells nothing.
    pub(super) fn silent(&self, server: &str) -> Duration {
        let now = self.env.now();
        let fresh = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let shut = self.bounds.server_missed_after() * 2;
        let own = match self.talks.borrow().get(server) {
            Some(t) if t.refused > 1 => shut,
            Some(t) => t.open.map_or(Duration::ZERO, |t| now.saturating_sub(t)),
            None => Duration::ZERO,
        };
        let mut ages = vec![own];
        for seat in self.seats.borrow().values().filter(|s| !s.hub && s.heard > fresh) {
            if let Some(x) = seat.sights.get(server) {
                let late = now.saturating_sub(seat.heard).saturating_sub(self.bounds.node_heartbeat());
                ages.push(if x.refused { shut } else { Duration::from_millis(x.age) + late });
            }
        }
        ages.sort();
        ages[(ages.len() - 1) / 2]
    }

    /// A node tells of a grant that an earlier leading hub gave: all that were out with it named the same server.
    pub(super) fn note_held_lease(&self, l: &wire::PrimaryLeaseGrant) {
        let mut all = self.standings.borrow_mut();
        let Some(st) = all.get_mut(&l.group) else { return };
        if st.server.is_empty() && !st.closed {
            st.server.clone_from(&l.server);
            st.line = l.epoch;
            st.granting = true;
            st.proven = true;
        }
    }

    fn stand(&self, group: &str) -> super::GroupLeadership {
        self.standings.borrow().get(group).cloned().unwrap_or_default()
    }

    fn withdraw(&self, group: &str, why: &str) {
        let was = self.stand(group).granting;
        self.edit(group, |s| {
            s.granting = false;
            s.proven = false;
            s.closed = true;
            s.why = why.into();
        });
        if was {
            self.log(Component::Elect, format!("grants of {group} are called back: {why}"));
            self.relay.request_heartbeats();
            self.bell.notify_waiters();
        }
    }

    /// One look at a group.
    pub(super) async fn tend_confirming(&self, g: &Group, image: &Image) {
        let mut st = self.stand(&g.name);
        let now = self.env.now();
        let prim = self.primary(g, image);
        if st.server.is_empty()
            && let Some(e) = image.election(&g.name).filter(|e| g.servers.contains(&e.server))
        {
            // Grants were given for no other since that was written down.
            st.server.clone_from(&e.server);
            st.line = e.epoch;
            self.edit(&g.name, |s| (s.server, s.line) = (e.server.clone(), e.epoch));
        }
        if let Some(p) = &prim {
            self.fence(g, p, &st).await;
            if st.server != p.name && (st.server.is_empty() || p.line > st.line) {
                return self.adopt_primary(g, image, p, &st).await;
            }
            if st.server == p.name {
                if p.line > st.line {
                    self.edit(&g.name, |s| s.line = p.line);
                }
                if image.election(&g.name).is_none_or(|e| e.server != p.name || e.epoch != p.line) {
                    self.write_down(g, p).await;
                }
            }
        }
        if st.server.is_empty() {
            // Nobody says that it leads, and no node holds a grant.
            let known = g.servers.len() > 1 && now > self.consensus.term().1 + self.bounds.server_missed_after() * 2;
            if known && prim.is_none() && self.leases.borrow().primary_free(&g.name, now) {
                self.fail_over(g, "").await;
            }
            return;
        }
        let silent = self.silent(&st.server);
        if silent > self.bounds.server_missed_after() {
            self.withdraw(&g.name, &format!("{} does not answer", st.server));
            self.fail_over(g, &st.server).await;
            return;
        }
        let told = self.servers.borrow().get(&st.server).cloned();
        let away = told.is_none_or(|t| t.draining || t.left || image.evacuated_zones.contains(&t.area));
        let wish = st.wish.clone().filter(|w| *w != st.server && g.servers.contains(w));
        if away || wish.is_some() {
            self.hand_over(g, image, &st.server, wish).await;
            return;
        }
        let leads = prim.as_ref().map_or(st.proven, |p| p.name == st.server);
        let granting = leads && silent < self.bounds.server_missed_after() / 2;
        if granting != st.granting {
            self.edit(&g.name, |s| {
                s.granting = granting;
                s.proven = granting;
                s.closed = false;
            });
            self.log(Component::Elect, format!("{} {}", st.server, if granting { "is seen" } else { "is missed" }));
            self.relay.request_heartbeats();
        }
        if leads && !st.unclear {
            self.free_held(g, &st.server);
        }
        self.watch_confirming_reach(g, image, &st);
    }

    /// Frees servers that an election kept from receiving which was given up, as the leader is back.
    fn free_held(&self, g: &Group, leader: &str) {
        let is_held = |s: &&String| {
            let talks = self.talks.borrow();
            let talk = talks.get(*s);
            talk.is_some_and(|t| t.held.is_some() || matches!(t.order, Some(StatementKind::SuspendReplication { .. })))
        };
        let others = g.servers.iter().filter(|s| *s != leader);
        let held: Vec<String> = others.filter(is_held).cloned().collect();
        self.free_all(&held);
    }

    /// A leader that some nodes can't reach, while another fit server is in sight of more, is to hand over to that one.
    fn watch_confirming_reach(&self, g: &Group, image: &Image, st: &super::GroupLeadership) {
        let now = self.env.now();
        let fresh = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let blind = |s: &str| {
            let seats = self.seats.borrow();
            let late = self.bounds.server_missed_after().as_millis() as u64 * 2 / 3;
            let miss = |x: &super::NodeRecord| x.sights.get(s).is_some_and(|y| y.age > late || y.refused);
            seats.values().filter(|x| !x.hub && x.heard > fresh && miss(x)).count()
        };
        let own = blind(&st.server);
        let rows = if own == 0 { Vec::new() } else { self.sighted(g, image, fresh) };
        let other = rows.iter().filter(|r| r.fit && r.name != st.server).map(|r| (blind(&r.name), r));
        let Some((_, other)) = other.min_by_key(|x| x.0).filter(|x| x.0 < own) else {
            return self.edit(&g.name, |s| s.dim = None);
        };
        let since = st.dim.unwrap_or(now);
        // A single node's word may be chance.
        let long = if own > 1 { self.bounds.server_missed_after() / 2 } else { self.bounds.server_missed_after() * 2 };
        let ripe = now - since > long && now - st.since > self.bounds.server_gone_after() * 2;
        self.edit(&g.name, |s| s.dim = Some(since));
        if ripe {
            self.log(
                Component::Elect,
                format!("{own} nodes can't reach {}; {} is in sight of more", st.server, other.name),
            );
            self.edit(&g.name, |s| {
                s.dim = None;
                s.wish = Some(other.name.clone());
            });
        }
    }

    /// Writes down who leads before any grant for it is given: whoever leads the hubs later and sees that same server
    /// lead on that line knows that no grant for another can be out.
    async fn write_down(&self, g: &Group, p: &PrimarySight) -> bool {
        let before = self.consensus.image().and_then(|i| i.election(&g.name).cloned());
        let (index, from) = (p.place.index, p.place.epoch);
        let put = Election {
            group: g.name.clone(),
            epoch: p.line,
            server: p.name.clone(),
            start_epoch: from,
            start_index: index,
        };
        self.write_elect(put, before).await
    }

    /// Grants for a server that was seen leading, once no grant for another can stand.
    async fn adopt_primary(&self, g: &Group, image: &Image, p: &PrimarySight, st: &super::GroupLeadership) {
        if st.granting {
            self.withdraw(&g.name, &format!("{} leads on line {}", p.name, p.line));
        }
        let noted = image.election(&g.name).cloned();
        // Nothing was ever granted for a group of which nothing is written down.
        let known = noted.as_ref().is_none_or(|e| e.server == p.name && e.epoch == p.line);
        let out = || self.leases.borrow().primary_handed_back(&g.name, self.env.now(), known) || self.disabled.no_wait;
        for _ in 0..20 {
            if out() {
                break;
            }
            self.env.sleep(self.bounds.control_heartbeat() / 20).await;
        }
        if !out() || !self.consensus.leads() {
            return;
        }
        if noted.is_none_or(|e| e.server != p.name || e.epoch != p.line) && !self.write_down(g, p).await {
            return;
        }
        let now = self.env.now();
        self.log(Component::Elect, format!("{} leads {} on line {}", p.name, g.name, p.line));
        self.edit(&g.name, |s| {
            s.server.clone_from(&p.name);
            s.line = p.line;
            s.granting = true;
            s.proven = true;
            s.closed = false;
            s.since = now;
            s.wish = None;
            s.dim = None;
        });
        // Whoever was kept from receiving for this election receives again.
        let others = g.servers.iter().filter(|s| **s != p.name);
        others.for_each(|s| self.order(s, StatementKind::ResumeReplication));
        self.relay.request_heartbeats();
        self.bell.notify_waiters();
    }

    /// Once a term: the platform hears of this holder by naming the one that leads anyway, so that a call of an earlier
    /// holder that is still under way no longer counts; after a while, servers that one kept from receiving are freed.
    async fn fence(&self, g: &Group, p: &PrimarySight, st: &super::GroupLeadership) {
        let now = self.env.now();
        match st.fenced {
            // The first term of all has no earlier holder.
            None if self.consensus.term().0 <= 1 => self.edit(&g.name, |s| {
                s.fenced = Some(now);
                s.freed = true;
            }),
            None if self.duty_rests() => {}
            None => {
                let code = self.promote(g, &p.name).await;
                if code == Some(200) {
                    self.edit(&g.name, |s| s.fenced = Some(self.env.now()));
                }
            }
            Some(t) if !st.freed && now > t + self.bounds.lease_duration() => {
                g.servers
                    .iter()
                    .filter(|s| **s != p.name)
                    .for_each(|s| self.order(s, StatementKind::ResumeReplication));
                self.edit(&g.name, |s| s.freed = true);
            }
            Some(_) => {}
        }
    }

    /// Whether an earlier holder of the duty that is still well may have used it a moment ago.
    fn duty_rests(&self) -> bool {
        let (_, since) = self.consensus.term();
        !self.disabled.no_duty_rest && self.env.now() < since + DUTY_REST && self.consensus.earlier_leader_alive()
    }

    /// Gives an order to a server, to be carried out on this hub's connection to it.
    fn order(&self, server: &str, act: StatementKind) {
        let mut all = self.talks.borrow_mut();
        let t = all.entry(server.into()).or_default();
        t.order = Some(act);
        t.held = None;
        drop(all);
        self.bell.notify_waiters();
    }

    /// A number that rises with the term and with each naming of another server in it: a call whose answer was lost may
    /// still come after a later one, and is then refused.
    fn fencing_token(&self, group: &str, server: &str) -> u64 {
        let mut all = self.namings.borrow_mut();
        let (count, last) = all.entry(group.into()).or_default();
        if last != server && !self.disabled.one_fence {
            *count += 1;
            *last = server.into();
        }
        self.term.get() << NAMING_BITS | *count
    }

    /// Calls the platform; the answer's code.
    async fn promote(&self, g: &Group, server: &str) -> Option<u16> {
        let (addr, manner) = (self.platform.get()?, self.manner.clone()?);
        let naming = Promotion {
            group: g.name.clone(),
            server: server.into(),
            holder: self.relay.identity.name.clone(),
            fencing_token: self.fencing_token(&g.name, server),
        };
        let out = manner.promote(&self.env, addr, &naming, self.bounds.call_timeout()).await;
        match out {
            Ok(200) => Some(200),
            Ok(code) => {
                // Only a refusal is sure not to be carried out.
                self.edit(&g.name, |s| s.unclear |= code >= 500);
                self.log(Component::Elect, format!("the platform answered {code} to naming {server}"));
                Some(code)
            }
            Err(e) => {
                self.edit(&g.name, |s| s.unclear = true);
                self.log(Component::Elect, format!("the call naming {server} failed: {e}"));
                None
            }
        }
    }

    /// Waits until each of these servers has shown that it receives nothing more; the newest place among them.
    async fn hold_all(&self, names: &[String], line: u64, span: Duration) -> Option<Position> {
        names.iter().for_each(|s| self.order(s, StatementKind::SuspendReplication { line }));
        self.urgent.set(self.env.now() + span);
        let all = self.bell.wait_until(|| {
            let talks = self.talks.borrow();
            let rows: Vec<_> = names.iter().filter_map(|s| talks.get(s)?.held).collect();
            (rows.len() == names.len()).then(|| rows.iter().map(|r| r.position).max().unwrap_or_default())
        });
        self.env.timeout(span, all).await.ok()
    }

    fn free_all(&self, names: &[String]) {
        names.iter().for_each(|s| self.order(s, StatementKind::ResumeReplication));
    }

    fn newest(&self, g: &Group) -> u64 {
        let talks = self.talks.borrow();
        let lines = g.servers.iter().filter_map(|s| Some(talks.get(s)?.row?.1.epoch));
        lines.max().unwrap_or(0).max(self.stand(&g.name).line)
    }

    /// Elects after the leader was lost: all others are kept from receiving and read, and the furthest is named.
    async fn fail_over(&self, g: &Group, lost: &str) {
        if self.duty_rests() {
            return;
        }
        let others: Vec<String> = g.servers.iter().filter(|s| *s != lost).cloned().collect();
        let need = if lost.is_empty() { others.len().saturating_sub(1) } else { others.len() };
        if others.is_empty() || need == 0 {
            return;
        }
        if !self.list_stands(g) {
            // A leader that crashed comes back with its log: waiting is safe.
            return self.wait_for_list(&g.name);
        }
        self.edit(&g.name, |s| s.waits_for_list = false);
        let line = self.newest(g) + 1;
        self.log(Component::Elect, format!("new leader needed for {}", g.name));
        if self.disabled.no_hold {
            let alive = |s: &&String| self.talks.borrow().get(*s).is_some_and(|t| t.open.is_none());
            let some = others.iter().find(alive).cloned();
            if let Some(s) = some {
                self.promote(g, &s).await;
                self.await_leader(g, &s, line).await;
            }
            return;
        }
        if lost.is_empty() {
            // Nobody is known to have led: all but one must answer.
            others.iter().for_each(|s| self.order(s, StatementKind::SuspendReplication { line }));
            self.urgent.set(self.env.now() + self.bounds.server_gone_after());
            self.env.sleep(self.bounds.server_gone_after()).await;
            let held = others.iter().filter(|s| self.talks.borrow().get(*s).is_some_and(|t| t.held.is_some())).count();
            if held < need {
                return self.free_all(&others);
            }
        } else if self.hold_all(&others, line, self.bounds.server_gone_after()).await.is_none() {
            let missing = others.iter().filter(|s| self.talks.borrow().get(*s).is_none_or(|t| t.held.is_none()));
            let missing: Vec<_> = missing.cloned().collect();
            self.log(Component::Elect, format!("{} can't be read; no leader for {} yet", missing.join(" "), g.name));
            if self.silent(lost) < self.bounds.server_missed_after() {
                self.free_all(&others);
            }
            return;
        }
        if !self.consensus.leads() {
            return;
        }
        if self.silent(lost) < self.bounds.server_missed_after() && !lost.is_empty() {
            self.log(Component::Elect, format!("{lost} answers again"));
            return self.free_all(&others);
        }
        if !self.list_stands(g) {
            // Whoever came meanwhile is to be kept from receiving and read too.
            return self.log(Component::Elect, format!("the servers of {} changed; its election begins anew", g.name));
        }
        let best = {
            let talks = self.talks.borrow();
            let told = self.servers.borrow();
            let image = self.consensus.image();
            let rows = others.iter().filter_map(|s| Some((s.clone(), talks.get(s)?.held?)));
            let fit = |s: &String| {
                let out = |a: &String| image.as_ref().is_some_and(|i| i.evacuated_zones.contains(a));
                told.get(s).is_some_and(|t| !t.draining && !t.gone && !out(&t.area))
            };
            rows.max_by_key(|(s, r)| (r.position, fit(s))).map(|x| x.0)
        };
        let Some(best) = best else { return };
        self.log(Component::Elect, format!("naming {best} for {}", g.name));
        if self.promote(g, &best).await != Some(200) {
            return;
        }
        self.await_leader(g, &best, line).await;
    }

    /// Notes that an election waits until the list of a group's servers is complete.
    fn wait_for_list(&self, group: &str) {
        if !self.stand(group).waits_for_list {
            self.log(Component::Elect, format!("{group}: a server may not be listed yet; no election"));
        }
        self.edit(group, |s| s.waits_for_list = true);
    }

    /// Waits for the named server to be seen leading.
    async fn await_leader(&self, g: &Group, server: &str, line: u64) -> bool {
        let span = self.bounds.server_gone_after();
        self.urgent.set(self.env.now() + span);
        let leads = |s: &str| {
            let talks = self.talks.borrow();
            talks.get(s).and_then(|t| t.row).is_some_and(|(_, r)| r.is_primary && r.epoch >= line)
        };
        let wait = self.bell.wait_until(|| leads(server).then_some(()));
        let out = self.env.timeout(span, wait).await.is_ok();
        if !out {
            self.log(Component::Elect, format!("{server} does not lead {} yet", g.name));
        }
        out
    }

    /// Hands over from a primary that answers to the one that is furthest and fit.
    async fn hand_over(&self, g: &Group, image: &Image, from: &str, wish: Option<String>) {
        if self.duty_rests() {
            return;
        }
        let rows = self.sighted(g, image, self.env.now().saturating_sub(self.bounds.server_missed_after()));
        let next = rows
            .iter()
            .filter(|r| r.fit && r.name != from && wish.as_ref().is_none_or(|w| *w == r.name))
            .max_by_key(|r| (r.place, std::cmp::Reverse(r.cold)));
        let Some(next) = next else { return };
        let line = self.newest(g) + 1;
        self.log(Component::Elect, format!("{from} is to hand {} over to {}", g.name, next.name));
        self.hand_down(g, from, &next.name, line).await;
    }

    /// The old primary is told to follow, so that it confirms nothing more, and what it holds then is what the next one must
    /// hold; else it is named again. No list of servers is relied on: one that is coming may receive already and has not
    /// made itself known.
    async fn hand_down(&self, g: &Group, from: &str, next: &str, line: u64) {
        self.edit(&g.name, |s| s.wish = None);
        if self.disabled.any_list {
            // Tests see what becomes of commits that a server on no list confirms.
            self.promote(g, next).await;
            self.await_leader(g, next, line).await;
            return;
        }
        self.order(from, StatementKind::StepDown { line });
        self.urgent.set(self.env.now() + self.bounds.server_gone_after());
        let row = |s: &str| self.talks.borrow().get(s).and_then(|t| t.held);
        let wait = self.bell.wait_until(|| row(from));
        let Ok(last) = self.env.timeout(self.bounds.server_missed_after(), wait).await else {
            self.log(Component::Elect, format!("{from} can't be told to follow"));
            // The order must not be carried out later on.
            return self.with_order_off(from);
        };
        let there = || {
            let talks = self.talks.borrow();
            talks.get(next).and_then(|t| t.row).is_some_and(|(_, r)| r.position >= last.position)
        };
        let wait = self.bell.wait_until(|| there().then_some(()));
        let met = self.env.timeout(self.bounds.server_missed_after() / 2, wait).await.is_ok();
        let name = if met { next } else { from };
        self.log(Component::Elect, format!("{from} follows; naming {name} for {}", g.name));
        if self.promote(g, name).await == Some(200) {
            self.await_leader(g, name, line).await;
        }
    }

    fn with_order_off(&self, server: &str) {
        if let Some(t) = self.talks.borrow_mut().get_mut(server) {
            t.order = None;
        }
    }
}
