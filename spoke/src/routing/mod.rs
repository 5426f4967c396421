//! The decision object: asked where a statement may go and whether that still holds. It sends nothing itself.

use std::{rc::Rc, time::Duration};

use crate::{
    health::{HealthMeasurements, ListKey},
    run::{DisabledGuards, Pools},
    view::{Journal, View},
};
use base::{
    Bounds, ErrorKind,
    edge::{backend::ResponseMetadata, client::Token, operator::Consistency},
    position::Position,
    runtime::Env,
};
use pick::choose;

/// On what a send rests; looked at again before the send and before the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// The leader grant of this line.
    PrimaryLease { line: u64 },
    /// A head reading asked for at this time.
    PrimaryPosition { asked: Duration, head: Position },
    /// A position the server was seen to hold, or none where nothing is promised.
    AtLeast { place: Position },
}

/// Where to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub server: String,
    pub group: String,
    pub condition: Condition,
}

/// What the executor is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDecision {
    Send(Target),
    Reject(ErrorKind),
}

/// A doorway as a statement finds it.
#[derive(Clone, Debug)]
pub struct MatchedRoute {
    pub name: String,
    pub group: String,
    pub consistency: Consistency,
    pub fallback_to_primary: bool,
    /// How long a statement may take, how soon an answer is wanted, how old a commit a read may miss; where told.
    pub statement_timeout: Option<Duration>,
    pub target_latency: Option<Duration>,
    pub max_staleness: Option<Duration>,
}

/// Asked by the executor.
pub struct Router {
    pub env: Env,
    pub name: String,
    pub zone: String,
    pub journal: Rc<Journal>,
    pub health: Rc<HealthMeasurements>,
    pub pools: Rc<Pools>,
    pub bounds: Bounds,
    /// Serve callers on while the own area is emptied of servers.
    pub serve_in_evacuated_zone: bool,
    pub disabled: DisabledGuards,
}

impl Router {
    /// Whether this node may take new work at all.
    pub fn check_admission(&self) -> Result<(), ErrorKind> {
        self.check_service(Duration::ZERO)
    }

    /// Whether a transaction that is open may go on here.
    pub fn check_continuation(&self) -> Result<(), ErrorKind> {
        self.check_service(self.bounds.evacuation_grace())
    }

    /// Whether the leading hub's word was the newest lately.
    pub fn is_confirmed(&self) -> bool {
        let view = self.journal.view();
        let fresh = view.confirmed_at.is_some_and(|t| self.env.now() <= t + self.bounds.confirmation_validity());
        fresh || (self.disabled.no_confirm && view.image.is_some())
    }

    /// Whether work may go on, in an area that was emptied no longer than `since` ago.
    fn check_service(&self, since: Duration) -> Result<(), ErrorKind> {
        let emptied = self.journal.view().evacuated_since.get(&self.zone).is_some_and(|t| self.env.now() >= *t + since);
        if emptied && !self.disabled.no_empty && !self.serve_in_evacuated_zone {
            return Err(ErrorKind::ZoneEvacuated);
        }
        if self.is_confirmed() { Ok(()) } else { Err(ErrorKind::Unconfirmed) }
    }

    /// The doorway of a name.
    pub fn route(&self, name: &str) -> Result<MatchedRoute, ErrorKind> {
        let view = self.journal.view();
        view.image.as_ref().ok_or(ErrorKind::Unconfirmed)?;
        let d = view.route(name).ok_or(ErrorKind::NoDatabase)?;
        let promise = Consistency::parse(&d.consistency).ok_or(ErrorKind::NoDatabase)?;
        let span = |ms: u64| (ms > 0).then(|| Duration::from_millis(ms));
        Ok(MatchedRoute {
            name: d.name.clone(),
            group: d.group.clone(),
            consistency: promise,
            fallback_to_primary: d.fallback,
            statement_timeout: span(d.statement_ms),
            target_latency: span(d.aim_ms),
            max_staleness: span(d.fresh_ms),
        })
    }

    /// How long a statement may take, by the operator's word.
    pub fn default_timeouts(&self) -> (Duration, Duration) {
        let view = self.journal.view();
        let l = view.image.as_ref().and_then(|i| i.limits).unwrap_or_default();
        let or = |n: u64, d: Duration| if n == 0 { d } else { Duration::from_millis(n) };
        (or(l.statement_ms, self.bounds.statement_timeout()), or(l.idle_ms, self.bounds.transaction_idle_timeout()))
    }

    /// Whether a server must get no new work: draining, gone, or in an emptied area. Judged at every statement.
    fn is_excluded(&self, view: &View, server: &str, leads: bool) -> bool {
        let now = self.env.now();
        let Some(s) = view.servers.get(server) else { return true };
        let emptied = view.evacuated_since.get(&s.zone).copied().filter(|_| !self.disabled.no_empty);
        if leads {
            // A leader works on until its successor does, but not past the bound.
            let since = [s.draining_since, emptied].into_iter().flatten().min();
            return since.is_some_and(|t| now > t + self.bounds.evacuation_grace());
        }
        let dead = self.health.observation(server).failed_reads > 0;
        (s.draining_since.is_some() || s.gone_since.is_some() || emptied.is_some() || dead) && !self.disabled.no_veto
    }

    /// Whether a server may still be worked with.
    pub fn is_usable(&self, target: &Target) -> bool {
        let leads = matches!(target.condition, Condition::PrimaryLease { .. });
        let view = self.journal.view();
        let allowed =
            view.image.as_ref().and_then(|i| i.group_of(&target.server)).is_some_and(|g| g.name == target.group);
        (allowed || self.disabled.no_group) && !self.is_excluded(&view, &target.server, leads)
    }

    fn valid_lease(&self, view: &View, group: &str) -> Result<Target, ErrorKind> {
        let now = self.env.now();
        let l = view.primary_leases.get(group).ok_or(ErrorKind::NoPrimary)?;
        if now >= l.valid_until && !self.disabled.no_fence {
            return Err(ErrorKind::NoPrimary);
        }
        if self.is_excluded(view, &l.server, true) {
            return Err(ErrorKind::NoPrimary);
        }
        Ok(Target {
            server: l.server.clone(),
            group: group.into(),
            condition: Condition::PrimaryLease { line: l.epoch },
        })
    }

    /// Where a write or a transaction may go.
    pub fn route_write(&self, gate: &MatchedRoute) -> RouteDecision {
        let now = self.env.now();
        let view = self.journal.view();
        let lead = match self.valid_lease(&view, &gate.group) {
            Ok(t) => t,
            Err(k) => return RouteDecision::Reject(k),
        };
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == gate.group)) else {
            return RouteDecision::Reject(ErrorKind::NoDatabase);
        };
        // With no follower that receives, a commit could not be acknowledged: refuse while "not kept" is certain.
        let since = now.saturating_sub(self.bounds.freshness_bound());
        if let Some((_, head)) = self.health.primary_position_since(&gate.group, since) {
            let follows =
                |s: &&String| **s != lead.server && self.health.has_position(s, head) && self.health.counts_as_copy(s);
            if g.servers.len() > 1 && g.servers.iter().filter(follows).count() == 0 {
                return RouteDecision::Reject(ErrorKind::NoServer);
            }
        }
        RouteDecision::Send(lead)
    }

    /// Where a read may go: inside the standing list, less the vetoed, with the doorway's promise kept.
    pub fn route_read(&self, gate: &MatchedRoute, key: &ListKey, token: Token, tried: &[String]) -> RouteDecision {
        let view = self.journal.view();
        let lead = self.valid_lease(&view, &gate.group);
        let own = gate.consistency == Consistency::Session && token.outcome_unknown && !self.disabled.no_token;
        if gate.consistency == Consistency::Leader || own {
            return match lead {
                Ok(t) if tried.iter().filter(|s| **s == t.server).count() < 2 => RouteDecision::Send(t),
                Ok(_) => RouteDecision::Reject(ErrorKind::ServerFailed),
                Err(k) => RouteDecision::Reject(k),
            };
        }
        let leader = view.primary_leases.get(&gate.group).map(|l| l.server.clone());
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == gate.group)) else {
            return RouteDecision::Reject(ErrorKind::NoDatabase);
        };
        let any = view.servers.keys().filter(|_| self.disabled.no_group);
        let own = g.servers.iter().filter(|_| !self.disabled.no_group);
        let free: Vec<&String> = own
            .chain(any)
            .filter(|s| Some(*s) != leader.as_ref() && !tried.contains(s))
            .filter(|s| !self.is_excluded(&view, s, false) && self.pools.limit(s) > 1)
            .collect();
        let fit: Vec<(&String, Condition)> =
            free.iter().filter_map(|s| Some((*s, self.replica_condition(gate, token, s)?))).collect();
        if let Some(t) = self.choose_server(gate, key, &fit) {
            return RouteDecision::Send(t);
        }
        match lead {
            Ok(t) if gate.fallback_to_primary && !tried.contains(&t.server) => RouteDecision::Send(t),
            Ok(_) => RouteDecision::Reject(ErrorKind::NoServer),
            Err(k) => RouteDecision::Reject(k),
        }
    }

    /// On what the promise would rest if this follower answered; `None` when it can't keep it.
    fn replica_condition(&self, gate: &MatchedRoute, token: Token, server: &str) -> Option<Condition> {
        let now = self.env.now();
        let none = Condition::AtLeast { place: Position::default() };
        match gate.consistency {
            Consistency::Leader => None,
            Consistency::Any => Some(none),
            Consistency::Session if self.disabled.no_token => Some(none),
            Consistency::Session => {
                let held =
                    token.read_floor == Position::default() || self.health.has_position(server, token.read_floor);
                held.then_some(Condition::AtLeast { place: token.read_floor })
            }
            Consistency::Bound if self.disabled.no_fresh => Some(none),
            Consistency::Bound => {
                // A sixth of the bound is left for the way there and back.
                let room = self.bounds.freshness_bound() * 5 / 6;
                let (asked, head) = self.health.primary_position_since(&gate.group, now.saturating_sub(room))?;
                self.health.has_position(server, head).then_some(Condition::PrimaryPosition { asked, head })
            }
        }
    }

    fn choose_server(&self, gate: &MatchedRoute, key: &ListKey, fit: &[(&String, Condition)]) -> Option<Target> {
        let mut lists = self.health.lists.borrow_mut();
        let list = lists.entry(key.clone()).or_default();
        let sampled = fit.iter().find(|(s, _)| {
            !list.eligible.contains(s)
                && list.sample_budget.get(*s).is_some_and(|n| *n > 0)
                && self.env.rand_below(8) == 0
        });
        let (server, basis) = match sampled {
            Some((s, b)) => {
                if let Some(n) = list.sample_budget.get_mut(*s) {
                    *n -= 1;
                }
                (*s, b)
            }
            None => {
                let within: Vec<_> = fit.iter().filter(|(s, _)| list.eligible.contains(s)).collect();
                // Fails open to those that are left, never to a vetoed server or past the doorway.
                let rows: Vec<_> = if within.is_empty() { fit.iter().collect() } else { within };
                let pairs: Vec<(f64, f64)> = rows
                    .iter()
                    .map(|(s, _)| (list.weights.get(*s).copied().unwrap_or(1.0), self.pools.load(s)))
                    .collect();
                let roll = || self.env.rand_below(1 << 20) as f64 / (1u64 << 20) as f64;
                let (s, b) = rows[choose(&pairs, (roll(), roll()))?];
                (*s, b)
            }
        };
        Some(Target { server: server.clone(), group: gate.group.clone(), condition: basis.clone() })
    }

    /// Where a write or a transaction of a group whose servers confirm may go. One that answers nothing here may be
    /// reached from another node.
    pub fn route_to_primary(&self, group: &str) -> Result<Target, ErrorKind> {
        let target = self.valid_lease(&self.journal.view(), group)?;
        if self.is_unresponsive(&target.server) { Err(ErrorKind::NoServer) } else { Ok(target) }
    }

    /// Whether what this node asks of a server stands unanswered for too long.
    fn is_unresponsive(&self, server: &str) -> bool {
        let x = self.health.observation(server);
        x.unresponsive_since(self.pools.connecting_since(server))
            .is_some_and(|t| self.env.now() > t + self.bounds.server_missed_after() / 2)
    }

    /// Whether the leave to act on the target as leader stands now. What was begun under it may be ended without it: the
    /// server itself refuses once another leads, and no other's commit is acknowledged while this leave is out.
    pub fn holds_lease(&self, target: &Target) -> bool {
        let view = self.journal.view();
        let grant = view.primary_leases.get(&target.group);
        grant.is_some_and(|l| l.server == target.server && self.env.now() < l.valid_until) || self.disabled.no_fence
    }

    /// Where a read of a group whose servers confirm may go, and which position the server itself must find in its log.
    /// Inside the standing list, less the vetoed and the silent.
    pub fn route_confirmed_read(
        &self,
        gate: &MatchedRoute,
        key: &ListKey,
        own: Position,
        tried: &[String],
    ) -> RouteDecision {
        let view = self.journal.view();
        let lead = self.valid_lease(&view, &gate.group);
        let floor = match gate.consistency {
            Consistency::Leader => None,
            Consistency::Any => Some(Position::default()),
            Consistency::Bound | Consistency::Session => {
                let fresh = gate.max_staleness.unwrap_or(self.bounds.freshness_bound());
                let since = self.env.now().saturating_sub(fresh * 5 / 6);
                let own = if self.disabled.no_token { Position::default() } else { own };
                let head = self.health.primary_position_since(&gate.group, since).map(|(_, head)| head.max(own));
                if self.disabled.no_fresh { Some(Position::default()) } else { head }
            }
        };
        let again = |s: &String| tried.iter().filter(|t| *t == s).count();
        let at_lead = |k: ErrorKind| match &lead {
            Ok(t) if again(&t.server) < 2 => RouteDecision::Send(t.clone()),
            Ok(_) => RouteDecision::Reject(ErrorKind::ServerFailed),
            Err(_) => RouteDecision::Reject(k),
        };
        let Some(floor) = floor else { return at_lead(ErrorKind::NoPrimary) };
        let leader = view.primary_leases.get(&gate.group).map(|l| l.server.clone());
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == gate.group)) else {
            return RouteDecision::Reject(ErrorKind::NoDatabase);
        };
        let free = |s: &&String| {
            Some(*s) != leader.as_ref()
                && again(s) == 0
                && !self.is_excluded(&view, s, false)
                && !self.is_unresponsive(s)
                && self.pools.limit(s) > 0
        };
        let mut rows: Vec<&String> = g.servers.iter().filter(free).collect();
        if rows.iter().any(|s| self.health.has_position(s, floor)) {
            // Others would refuse, being behind.
            rows.retain(|s| self.health.has_position(s, floor));
        }
        let near = |s: &&String| view.servers.get(*s).is_some_and(|x| x.zone == self.zone);
        let basis = Condition::AtLeast { place: floor };
        fn fit<'a>(rows: &[&'a String], basis: &Condition) -> Vec<(&'a String, Condition)> {
            rows.iter().map(|s| (*s, basis.clone())).collect()
        }
        let in_list = |rows: &[(&String, Condition)]| {
            let lists = self.health.lists.borrow();
            let list = lists.get(key);
            rows.iter().any(|(s, _)| list.is_none_or(|l| l.eligible.contains(s)))
        };
        // The list says who may read; the order inside it puts the own area first while that is not crowded.
        let close: Vec<&String> = rows.iter().copied().filter(near).filter(|s| self.pools.load(s) < 0.75).collect();
        let close = fit(&close, &basis);
        let chosen = if in_list(&close) { self.choose_server(gate, key, &close) } else { None };
        match chosen.or_else(|| self.choose_server(gate, key, &fit(&rows, &basis))) {
            Some(t) => RouteDecision::Send(t),
            None if gate.fallback_to_primary => at_lead(ErrorKind::NoServer),
            None => RouteDecision::Reject(ErrorKind::NoServer),
        }
    }

    /// Whether what a send rests on still stands; asked before the send and again before the answer.
    pub fn is_valid(&self, target: &Target) -> bool {
        let now = self.env.now();
        match target.condition {
            Condition::PrimaryLease { line } => {
                let view = self.journal.view();
                let grant = view.primary_leases.get(&target.group);
                let stands = grant.is_some_and(|l| l.epoch == line && l.server == target.server && now < l.valid_until);
                stands || self.disabled.no_fence
            }
            Condition::PrimaryPosition { asked, .. } => now <= asked + self.bounds.freshness_bound(),
            Condition::AtLeast { .. } => true,
        }
    }

    /// Whether the answer's own signs bear out what the send rests on: a server that came back without part of its
    /// log, or no longer leads, shows it.
    pub fn is_satisfied_by(&self, target: &Target, signs: &ResponseMetadata) -> bool {
        if self.disabled.grow {
            return true;
        }
        let held = |want: Position| signs.position.is_none_or(|p| p.epoch >= want.epoch && p.index >= want.index);
        match target.condition {
            Condition::PrimaryLease { line } => {
                let leads = signs.is_primary && signs.position.is_some_and(|p| p.epoch == line);
                leads && self.health.counts_as_copy(&target.server)
            }
            Condition::PrimaryPosition { head, .. } => held(head),
            Condition::AtLeast { place } => held(place),
        }
    }

    /// Whether a commit at this place lies on a second server of the group; looks for it where that seems soonest.
    pub fn has_second_copy(&self, target: &Target, place: Position, all: bool) -> bool {
        let view = self.journal.view();
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == target.group)) else {
            return false;
        };
        if self.disabled.no_second {
            return true;
        }
        // A leader whose log lost something gives the same places out twice.
        if !self.health.counts_as_copy(&target.server) && !self.disabled.grow {
            return false;
        }
        if g.servers.len() == 1 {
            return true;
        }
        let others: Vec<&String> = g.servers.iter().filter(|s| **s != target.server).collect();
        let held = |s: &&String| {
            let x = self.health.observation(s);
            x.position.epoch == place.epoch && x.position.index >= place.index && self.health.counts_as_copy(s)
        };
        if others.iter().any(held) {
            return true;
        }
        let near = others.iter().max_by_key(|s| {
            let x = self.health.observation(s);
            (x.failed_reads == 0, x.position)
        });
        for s in others.iter().filter(|s| all || Some(*s) == near) {
            self.health.await_position(s, place);
        }
        false
    }
}
