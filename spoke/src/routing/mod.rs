//! Routing decisions: selects the server for a statement and checks whether that selection is still valid. Sends
//! nothing itself.

use std::{rc::Rc, time::Duration};

use crate::{
    health::{HealthMeasurements, ListKey, SelectionList},
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

/// The condition under which a target may be used. It is checked again before the attempt and before the response.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// The node holds the primary lease of this epoch.
    PrimaryLease { epoch: u64 },
    /// The server has reached the primary's position `head`, which was requested at `requested_at`.
    PrimaryPosition { requested_at: Duration, head: Position },
    /// The server has reached this position; the default position where no consistency is promised.
    AtLeast { position: Position },
}

/// A server selected for a statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub server: String,
    pub group: String,
    pub condition: Condition,
}

/// The outcome of routing a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDecision {
    /// Send the statement to this target.
    Send(Target),
    /// Return this error to the client.
    Reject(ErrorKind),
}

/// A route with its settings, as in force when a statement was matched to it.
#[derive(Clone, Debug)]
pub struct MatchedRoute {
    pub name: String,
    pub group: String,
    pub consistency: Consistency,
    /// Whether reads go to the primary when no replica can serve them.
    pub fallback_to_primary: bool,
    /// The longest duration of a statement, where configured.
    pub statement_timeout: Option<Duration>,
    /// The latency that the route aims for, where configured.
    pub target_latency: Option<Duration>,
    /// The age up to which a commit may be missing from a read, where configured.
    pub max_staleness: Option<Duration>,
}

/// Makes the routing decisions for the executor.
pub struct Router {
    pub env: Env,
    pub name: String,
    pub zone: String,
    pub journal: Rc<Journal>,
    pub health: Rc<HealthMeasurements>,
    pub pools: Rc<Pools>,
    pub bounds: Bounds,
    /// Whether to keep serving clients while this node's zone is evacuated.
    pub serve_in_evacuated_zone: bool,
    pub disabled: DisabledGuards,
}

impl Router {
    /// Checks whether this node may accept new work.
    ///
    /// # Errors
    /// `ZoneEvacuated` if its zone is evacuated, `Unconfirmed` without a recent confirmation by the leading control
    /// node.
    pub fn check_admission(&self) -> Result<(), ErrorKind> {
        self.check_service(Duration::ZERO)
    }

    /// Checks whether an open transaction may continue on this node; an evacuation takes effect after its grace period.
    ///
    /// # Errors
    /// As `check_admission`.
    pub fn check_continuation(&self) -> Result<(), ErrorKind> {
        self.check_service(self.bounds.evacuation_grace())
    }

    /// Whether the leading control node confirmed the node's snapshot as the newest within the confirmation validity.
    pub fn is_confirmed(&self) -> bool {
        let view = self.journal.view();
        let fresh = view.confirmed_at.is_some_and(|t| self.env.now() <= t + self.bounds.confirmation_validity());
        fresh || (self.disabled.no_confirmation && view.image.is_some())
    }

    /// Checks whether work may be done, given that the zone was evacuated for less than `grace`.
    fn check_service(&self, grace: Duration) -> Result<(), ErrorKind> {
        let evacuated =
            self.journal.view().evacuated_since.get(&self.zone).is_some_and(|t| self.env.now() >= *t + grace);
        if evacuated && !self.disabled.no_evacuation && !self.serve_in_evacuated_zone {
            return Err(ErrorKind::ZoneEvacuated);
        }
        if self.is_confirmed() { Ok(()) } else { Err(ErrorKind::Unconfirmed) }
    }

    /// The route of a database name.
    ///
    /// # Errors
    /// `Unconfirmed` before the first snapshot, `NoDatabase` for an unknown name.
    pub fn route(&self, name: &str) -> Result<MatchedRoute, ErrorKind> {
        let view = self.journal.view();
        view.image.as_ref().ok_or(ErrorKind::Unconfirmed)?;
        let route = view.route(name).ok_or(ErrorKind::NoDatabase)?;
        let consistency = Consistency::parse(&route.consistency).ok_or(ErrorKind::NoDatabase)?;
        let configured = |ms: u64| (ms > 0).then(|| Duration::from_millis(ms));
        Ok(MatchedRoute {
            name: route.name.clone(),
            group: route.group.clone(),
            consistency,
            fallback_to_primary: route.fallback,
            statement_timeout: configured(route.statement_ms),
            target_latency: configured(route.target_latency_ms),
            max_staleness: configured(route.max_staleness_ms),
        })
    }

    /// The statement timeout and the idle timeout of a transaction: the operator's limits, otherwise the bounds'
    /// values.
    pub fn default_timeouts(&self) -> (Duration, Duration) {
        let view = self.journal.view();
        let limits = view.image.as_ref().and_then(|i| i.limits).unwrap_or_default();
        let or_default = |ms: u64, default: Duration| if ms == 0 { default } else { Duration::from_millis(ms) };
        (
            or_default(limits.statement_ms, self.bounds.statement_timeout()),
            or_default(limits.idle_ms, self.bounds.transaction_idle_timeout()),
        )
    }

    /// Whether a server must receive no new work because it is draining, unreachable or in an evacuated zone. Evaluated
    /// for every statement.
    fn is_excluded(&self, view: &View, server: &str, is_primary: bool) -> bool {
        let now = self.env.now();
        let Some(state) = view.servers.get(server) else { return true };
        let evacuated_since = view.evacuated_since.get(&state.zone).copied().filter(|_| !self.disabled.no_evacuation);
        if is_primary {
            // A primary keeps working until its successor takes over, but no longer than the grace period.
            let since = [state.draining_since, evacuated_since].into_iter().flatten().min();
            return since.is_some_and(|t| now > t + self.bounds.evacuation_grace());
        }
        let failing = self.health.observation(server).failed_reads > 0;
        (state.draining_since.is_some() || state.gone_since.is_some() || evacuated_since.is_some() || failing)
            && !self.disabled.no_exclusion
    }

    /// Whether the target is still a member of its group and not excluded.
    pub fn is_usable(&self, target: &Target) -> bool {
        let is_primary = matches!(target.condition, Condition::PrimaryLease { .. });
        let view = self.journal.view();
        let allowed = view.group_of(&target.server).is_some_and(|g| g.name == target.group);
        (allowed || self.disabled.no_group_check) && !self.is_excluded(&view, &target.server, is_primary)
    }

    /// The primary of a group under a lease that is valid now.
    fn valid_lease(&self, view: &View, group: &str) -> Result<Target, ErrorKind> {
        let now = self.env.now();
        let lease = view.primary_leases.get(group).ok_or(ErrorKind::NoPrimary)?;
        if now >= lease.valid_until && !self.disabled.no_lease_check {
            return Err(ErrorKind::NoPrimary);
        }
        if self.is_excluded(view, &lease.server, true) {
            return Err(ErrorKind::NoPrimary);
        }
        Ok(Target {
            server: lease.server.clone(),
            group: group.into(),
            condition: Condition::PrimaryLease { epoch: lease.epoch },
        })
    }

    /// Selects the server for a write or a transaction.
    pub fn route_write(&self, route: &MatchedRoute) -> RouteDecision {
        let now = self.env.now();
        let view = self.journal.view();
        let primary = match self.valid_lease(&view, &route.group) {
            Ok(target) => target,
            Err(kind) => return RouteDecision::Reject(kind),
        };
        let Some(group) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == route.group)) else {
            return RouteDecision::Reject(ErrorKind::NoDatabase);
        };
        // Without a replica that receives, no commit could be acknowledged: reject while "not committed" is certain.
        let since = now.saturating_sub(self.bounds.freshness_bound());
        if let Some((_, head)) = self.health.primary_position_since(&route.group, since) {
            let replicates = |server: &&String| {
                **server != primary.server
                    && self.health.has_position(server, head)
                    && self.health.counts_as_copy(server)
            };
            if group.servers.len() > 1 && group.servers.iter().filter(replicates).count() == 0 {
                return RouteDecision::Reject(ErrorKind::NoServer);
            }
        }
        RouteDecision::Send(primary)
    }

    /// Selects the server for a read: one of the eligible set that is not excluded and fulfils the route's consistency.
    pub fn route_read(&self, route: &MatchedRoute, key: &ListKey, token: Token, tried: &[String]) -> RouteDecision {
        let view = self.journal.view();
        let primary = self.valid_lease(&view, &route.group);
        let outcome_unknown =
            route.consistency == Consistency::Session && token.outcome_unknown && !self.disabled.no_token;
        if route.consistency == Consistency::Leader || outcome_unknown {
            return match primary {
                Ok(target) if tried.iter().filter(|s| **s == target.server).count() < 2 => RouteDecision::Send(target),
                Ok(_) => RouteDecision::Reject(ErrorKind::ServerFailed),
                Err(kind) => RouteDecision::Reject(kind),
            };
        }
        let primary_name = view.primary_leases.get(&route.group).map(|l| l.server.clone());
        let Some(group) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == route.group)) else {
            return RouteDecision::Reject(ErrorKind::NoDatabase);
        };
        let all_servers = view.servers.keys().filter(|_| self.disabled.no_group_check);
        let group_servers = group.servers.iter().filter(|_| !self.disabled.no_group_check);
        let available: Vec<&String> = group_servers
            .chain(all_servers)
            .filter(|s| Some(*s) != primary_name.as_ref() && !tried.contains(s))
            .filter(|s| !self.is_excluded(&view, s, false) && self.pools.limit(s) > 1)
            .collect();
        let candidates: Vec<(&String, Condition)> =
            available.iter().filter_map(|s| Some((*s, self.replica_condition(route, token, s)?))).collect();
        if let Some(target) = self.choose_server(route, key, &candidates) {
            return RouteDecision::Send(target);
        }
        match primary {
            Ok(target) if route.fallback_to_primary && !tried.contains(&target.server) => RouteDecision::Send(target),
            Ok(_) => RouteDecision::Reject(ErrorKind::NoServer),
            Err(kind) => RouteDecision::Reject(kind),
        }
    }

    /// The condition under which this replica may answer; `None` when it can't fulfil the route's consistency.
    fn replica_condition(&self, route: &MatchedRoute, token: Token, server: &str) -> Option<Condition> {
        let now = self.env.now();
        let unconditional = Condition::AtLeast { position: Position::default() };
        match route.consistency {
            Consistency::Leader => None,
            Consistency::Any => Some(unconditional),
            Consistency::Session if self.disabled.no_token => Some(unconditional),
            Consistency::Session => {
                let reached =
                    token.read_floor == Position::default() || self.health.has_position(server, token.read_floor);
                reached.then_some(Condition::AtLeast { position: token.read_floor })
            }
            Consistency::Bound if self.disabled.no_freshness_check => Some(unconditional),
            Consistency::Bound => {
                // A sixth of the bound is reserved for the round trip.
                let max_age = self.bounds.freshness_bound() * 5 / 6;
                let (requested_at, head) =
                    self.health.primary_position_since(&route.group, now.saturating_sub(max_age))?;
                self.health.has_position(server, head).then_some(Condition::PrimaryPosition { requested_at, head })
            }
        }
    }

    /// Chooses one of the candidates by weight and load. One attempt in eight goes to a server outside the eligible set
    /// that has sample budget left.
    fn choose_server(
        &self,
        route: &MatchedRoute,
        key: &ListKey,
        candidates: &[(&String, Condition)],
    ) -> Option<Target> {
        let mut lists = self.health.lists.borrow_mut();
        let mut unmeasured = SelectionList::default();
        let list = lists.get_mut(key, &route.group).unwrap_or(&mut unmeasured);
        let sampled = candidates.iter().find(|(s, _)| {
            !list.eligible.contains(s)
                && list.sample_budget.get(*s).is_some_and(|n| *n > 0)
                && self.env.rand_below(8) == 0
        });
        let (server, condition) = match sampled {
            Some((server, condition)) => {
                if let Some(budget) = list.sample_budget.get_mut(*server) {
                    *budget -= 1;
                }
                (*server, condition)
            }
            None => {
                let eligible: Vec<_> = candidates.iter().filter(|(s, _)| list.eligible.contains(s)).collect();
                // With no eligible candidate, fails open to the remaining ones: never to an excluded server, and never
                // to one that the route does not allow.
                let rows: Vec<_> = if eligible.is_empty() { candidates.iter().collect() } else { eligible };
                let pairs: Vec<(f64, f64)> = rows
                    .iter()
                    .map(|(s, _)| (list.weights.get(*s).copied().unwrap_or(1.0), self.pools.load(s)))
                    .collect();
                let random = || self.env.rand_below(1 << 20) as f64 / (1u64 << 20) as f64;
                let (server, condition) = rows[choose(&pairs, (random(), random()))?];
                (*server, condition)
            }
        };
        Some(Target { server: server.clone(), group: route.group.clone(), condition: condition.clone() })
    }

    /// Selects the server for a write or a transaction of a group whose servers confirm commits.
    ///
    /// # Errors
    /// `NoPrimary` without a valid lease; `NoServer` if the primary does not respond to this node, which another node
    /// may still be able to reach.
    pub fn route_to_primary(&self, group: &str) -> Result<Target, ErrorKind> {
        let target = self.valid_lease(&self.journal.view(), group)?;
        if self.is_unresponsive(&target.server) { Err(ErrorKind::NoServer) } else { Ok(target) }
    }

    /// Whether requests of this node to a server have been unanswered for too long.
    fn is_unresponsive(&self, server: &str) -> bool {
        let observation = self.health.observation(server);
        observation
            .unresponsive_since(self.pools.connecting_since(server))
            .is_some_and(|t| self.env.now() > t + self.bounds.server_missed_after() / 2)
    }

    /// Whether this node holds a valid lease for the target as primary. Work begun under the lease may finish without
    /// it: the server itself refuses once another server is primary, and no commit of another primary is acknowledged
    /// while this lease is outstanding.
    pub fn holds_lease(&self, target: &Target) -> bool {
        let view = self.journal.view();
        let lease = view.primary_leases.get(&target.group);
        lease.is_some_and(|l| l.server == target.server && self.env.now() < l.valid_until)
            || self.disabled.no_lease_check
    }

    /// Selects the server for a read of a group whose servers confirm commits, and the position that the server itself
    /// must find in its log. Only servers of the eligible set that are neither excluded nor unresponsive are
    /// considered.
    pub fn route_confirmed_read(
        &self,
        route: &MatchedRoute,
        key: &ListKey,
        last_commit: Position,
        tried: &[String],
    ) -> RouteDecision {
        let view = self.journal.view();
        let primary = self.valid_lease(&view, &route.group);
        let required = match route.consistency {
            Consistency::Leader => None,
            Consistency::Any => Some(Position::default()),
            Consistency::Bound | Consistency::Session => {
                let max_staleness = route.max_staleness.unwrap_or(self.bounds.freshness_bound());
                let since = self.env.now().saturating_sub(max_staleness * 5 / 6);
                let last_commit = if self.disabled.no_token { Position::default() } else { last_commit };
                let head =
                    self.health.primary_position_since(&route.group, since).map(|(_, head)| head.max(last_commit));
                if self.disabled.no_freshness_check { Some(Position::default()) } else { head }
            }
        };
        let attempts_at = |s: &String| tried.iter().filter(|t| *t == s).count();
        let at_primary = |kind: ErrorKind| match &primary {
            Ok(target) if attempts_at(&target.server) < 2 => RouteDecision::Send(target.clone()),
            Ok(_) => RouteDecision::Reject(ErrorKind::ServerFailed),
            Err(_) => RouteDecision::Reject(kind),
        };
        let Some(required) = required else { return at_primary(ErrorKind::NoPrimary) };
        let primary_name = view.primary_leases.get(&route.group).map(|l| l.server.clone());
        let Some(group) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == route.group)) else {
            return RouteDecision::Reject(ErrorKind::NoDatabase);
        };
        let is_available = |s: &&String| {
            Some(*s) != primary_name.as_ref()
                && attempts_at(s) == 0
                && !self.is_excluded(&view, s, false)
                && !self.is_unresponsive(s)
                && self.pools.limit(s) > 0
        };
        let mut available: Vec<&String> = group.servers.iter().filter(is_available).collect();
        if available.iter().any(|s| self.health.has_position(s, required)) {
            // The others are behind the position and would refuse.
            available.retain(|s| self.health.has_position(s, required));
        }
        let in_own_zone = |s: &&String| view.servers.get(*s).is_some_and(|state| state.zone == self.zone);
        let condition = Condition::AtLeast { position: required };
        fn candidates<'a>(servers: &[&'a String], condition: &Condition) -> Vec<(&'a String, Condition)> {
            servers.iter().map(|s| (*s, condition.clone())).collect()
        }
        let any_eligible = |rows: &[(&String, Condition)]| {
            let lists = self.health.lists.borrow();
            let list = lists.get(key, &route.group);
            rows.iter().any(|(s, _)| list.is_none_or(|l| l.eligible.contains(s)))
        };
        // Within the eligible set, servers of the own zone come first while their pools are not crowded.
        let local: Vec<&String> =
            available.iter().copied().filter(in_own_zone).filter(|s| self.pools.load(s) < 0.75).collect();
        let local = candidates(&local, &condition);
        let chosen = if any_eligible(&local) { self.choose_server(route, key, &local) } else { None };
        match chosen.or_else(|| self.choose_server(route, key, &candidates(&available, &condition))) {
            Some(target) => RouteDecision::Send(target),
            None if route.fallback_to_primary => at_primary(ErrorKind::NoServer),
            None => RouteDecision::Reject(ErrorKind::NoServer),
        }
    }

    /// Whether the target's condition still holds; called before the attempt and again before the response.
    pub fn is_valid(&self, target: &Target) -> bool {
        let now = self.env.now();
        match target.condition {
            Condition::PrimaryLease { epoch } => {
                let view = self.journal.view();
                let lease = view.primary_leases.get(&target.group);
                let valid = lease.is_some_and(|l| l.epoch == epoch && l.server == target.server && now < l.valid_until);
                valid || self.disabled.no_lease_check
            }
            Condition::PrimaryPosition { requested_at, .. } => now <= requested_at + self.bounds.freshness_bound(),
            Condition::AtLeast { .. } => true,
        }
    }

    /// Whether the response's metadata satisfies the target's condition. A server that came back without part of its
    /// log, or that is no longer primary, shows it there.
    pub fn is_satisfied_by(&self, target: &Target, metadata: &ResponseMetadata) -> bool {
        if self.disabled.keep_highest_position {
            return true;
        }
        let reached =
            |wanted: Position| metadata.position.is_none_or(|p| p.epoch >= wanted.epoch && p.index >= wanted.index);
        match target.condition {
            Condition::PrimaryLease { epoch } => {
                let is_primary = metadata.is_primary && metadata.position.is_some_and(|p| p.epoch == epoch);
                is_primary && self.health.counts_as_copy(&target.server)
            }
            Condition::PrimaryPosition { head, .. } => reached(head),
            Condition::AtLeast { position } => reached(position),
        }
    }

    /// Whether a second server of the group holds the commit at this position. If not, requests a position read from
    /// the replica that is likely to reach it first, or from every replica where `all` is set.
    pub fn has_second_copy(&self, target: &Target, position: Position, all: bool) -> bool {
        let view = self.journal.view();
        let Some(group) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == target.group)) else {
            return false;
        };
        if self.disabled.no_second_copy {
            return true;
        }
        // A primary whose log lost entries assigns the same positions twice.
        if !self.health.counts_as_copy(&target.server) && !self.disabled.keep_highest_position {
            return false;
        }
        if group.servers.len() == 1 {
            return true;
        }
        let replicas: Vec<&String> = group.servers.iter().filter(|s| **s != target.server).collect();
        let has_commit = |s: &&String| {
            let observation = self.health.observation(s);
            observation.position.epoch == position.epoch
                && observation.position.index >= position.index
                && self.health.counts_as_copy(s)
        };
        if replicas.iter().any(has_commit) {
            return true;
        }
        let nearest = replicas.iter().max_by_key(|s| {
            let observation = self.health.observation(s);
            (observation.failed_reads == 0, observation.position)
        });
        for server in replicas.iter().filter(|s| all || Some(*s) == nearest) {
            self.health.await_position(server, position);
        }
        false
    }
}
