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
const PROMOTION_COUNT_BITS: u32 = 20;

/// For how long the duty of naming primaries rests when it goes from one control node to another and both are well: the
/// platform's users count on one holder in any span of this length.
const PROMOTER_CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// What a server that confirms showed lately.
struct ConfirmingServer {
    name: String,
    is_primary: bool,
    epoch: u64,
    position: Position,
    /// Neither draining nor gone nor in an emptied area.
    eligible: bool,
    cold_step: u32,
}

impl Leadership {
    /// The servers of a group as read after `since`.
    fn statuses_since(&self, group: &Group, image: &Image, since: Duration) -> Vec<ConfirmingServer> {
        let server_statuses = self.server_statuses.borrow();
        let servers = self.servers.borrow();
        let row = |server: &String| {
            let (requested_at, row) = server_statuses.get(server)?.last_status?;
            let record = servers.get(server)?;
            (requested_at >= since).then(|| ConfirmingServer {
                name: server.clone(),
                is_primary: row.is_primary,
                epoch: row.epoch,
                position: row.position,
                eligible: !record.draining && !record.gone && !image.evacuated_zones.contains(&record.zone),
                cold_step: (record.cold * 20.0) as u32,
            })
        };
        group.servers.iter().filter_map(row).collect()
    }

    fn observed_primary(&self, group: &Group, image: &Image) -> Option<ConfirmingServer> {
        let since = self.env.now().saturating_sub(self.bounds.server_missed_after());
        self.statuses_since(group, image, since)
            .into_iter()
            .filter(|server| server.is_primary)
            .max_by_key(|server| server.epoch)
    }

    /// For how long the middle one of those who look at a server has had a question to it unanswered. Where nobody
    /// listens at its address any more, waiting longer tells nothing.
    pub(super) fn unanswered_for(&self, server: &str) -> Duration {
        let now = self.env.now();
        let recent = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let refused_age = self.bounds.server_missed_after() * 2;
        let own_age = match self.server_statuses.borrow().get(server) {
            Some(status) if status.refusals > 1 => refused_age,
            Some(status) => status.unanswered_since.map_or(Duration::ZERO, |since| now.saturating_sub(since)),
            None => Duration::ZERO,
        };
        let mut ages = vec![own_age];
        for node in self.nodes.borrow().values().filter(|node| !node.is_control_node && node.last_heartbeat > recent) {
            if let Some(observation) = node.observations.get(server) {
                let report_age = now.saturating_sub(node.last_heartbeat).saturating_sub(self.bounds.node_heartbeat());
                ages.push(if observation.refused {
                    refused_age
                } else {
                    Duration::from_millis(observation.age) + report_age
                });
            }
        }
        ages.sort();
        ages[(ages.len() - 1) / 2]
    }

    /// A node tells of a grant that an earlier leading hub gave: all that were out with it named the same server.
    pub(super) fn note_held_lease(&self, lease: &wire::PrimaryLeaseGrant) {
        let mut group_leadership = self.group_leadership.borrow_mut();
        let Some(leadership) = group_leadership.get_mut(&lease.group) else { return };
        if leadership.server.is_empty() && !leadership.ignore_reported_leases {
            leadership.server.clone_from(&lease.server);
            leadership.epoch = lease.epoch;
            leadership.granting = true;
            leadership.proven = true;
        }
    }

    fn leadership_of(&self, group: &str) -> super::GroupLeadership {
        self.group_leadership.borrow().get(group).cloned().unwrap_or_default()
    }

    fn revoke_leases(&self, group: &str, reason: &str) {
        let was_granting = self.leadership_of(group).granting;
        self.update_group(group, |state| {
            state.granting = false;
            state.proven = false;
            state.ignore_reported_leases = true;
            state.reason = reason.into();
        });
        if was_granting {
            self.log(Component::Elect, format!("grants of {group} are called back: {reason}"));
            self.relay.request_heartbeats();
            self.state_changed.notify_waiters();
        }
    }

    /// One look at a group.
    pub(super) async fn supervise_confirming(&self, group: &Group, image: &Image) {
        let mut leadership = self.leadership_of(&group.name);
        let now = self.env.now();
        let observed = self.observed_primary(group, image);
        if leadership.server.is_empty()
            && let Some(election) =
                image.election(&group.name).filter(|election| group.servers.contains(&election.server))
        {
            // Grants were given for no other since that was written down.
            leadership.server.clone_from(&election.server);
            leadership.epoch = election.epoch;
            self.update_group(&group.name, |state| {
                (state.server, state.epoch) = (election.server.clone(), election.epoch)
            });
        }
        if let Some(primary) = &observed {
            self.fence_earlier_leader(group, primary, &leadership).await;
            if leadership.server != primary.name && (leadership.server.is_empty() || primary.epoch > leadership.epoch) {
                return self.adopt_primary(group, image, primary, &leadership).await;
            }
            if leadership.server == primary.name {
                if primary.epoch > leadership.epoch {
                    self.update_group(&group.name, |state| state.epoch = primary.epoch);
                }
                if image
                    .election(&group.name)
                    .is_none_or(|election| election.server != primary.name || election.epoch != primary.epoch)
                {
                    self.record_primary(group, primary).await;
                }
            }
        }
        if leadership.server.is_empty() {
            // Nobody says that it leads, and no node holds a grant.
            let may_elect =
                group.servers.len() > 1 && now > self.consensus.term().1 + self.bounds.server_missed_after() * 2;
            if may_elect && observed.is_none() && self.leases.borrow().primary_free(&group.name, now) {
                self.fail_over(group, "").await;
            }
            return;
        }
        let unanswered = self.unanswered_for(&leadership.server);
        if unanswered > self.bounds.server_missed_after() {
            self.revoke_leases(&group.name, &format!("{} does not answer", leadership.server));
            self.fail_over(group, &leadership.server).await;
            return;
        }
        let record = self.servers.borrow().get(&leadership.server).cloned();
        let must_hand_over = record.is_none_or(|record| {
            record.draining || record.deregistered || image.evacuated_zones.contains(&record.zone)
        });
        let requested = leadership
            .requested_primary
            .clone()
            .filter(|requested| *requested != leadership.server && group.servers.contains(requested));
        if must_hand_over || requested.is_some() {
            self.hand_over(group, image, &leadership.server, requested).await;
            return;
        }
        let is_primary = observed.as_ref().map_or(leadership.proven, |primary| primary.name == leadership.server);
        let granting = is_primary && unanswered < self.bounds.server_missed_after() / 2;
        if granting != leadership.granting {
            self.update_group(&group.name, |state| {
                state.granting = granting;
                state.proven = granting;
                state.ignore_reported_leases = false;
            });
            self.log(
                Component::Elect,
                format!("{} {}", leadership.server, if granting { "is seen" } else { "is missed" }),
            );
            self.relay.request_heartbeats();
        }
        if is_primary && !leadership.promotion_outcome_unknown {
            self.resume_suspended(group, &leadership.server);
        }
        self.check_confirming_reachability(group, image, &leadership);
    }

    /// Frees servers that an election kept from receiving which was given up, as the leader is back.
    fn resume_suspended(&self, group: &Group, primary: &str) {
        let is_suspended = |server: &&String| {
            let server_statuses = self.server_statuses.borrow();
            let status = server_statuses.get(*server);
            status.is_some_and(|status| {
                status.suspended_status.is_some()
                    || matches!(status.pending_order, Some(StatementKind::SuspendReplication { .. }))
            })
        };
        let others = group.servers.iter().filter(|server| *server != primary);
        let suspended: Vec<String> = others.filter(is_suspended).cloned().collect();
        self.resume_all(&suspended);
    }

    /// A leader that some nodes can't reach, while another fit server is in sight of more, is to hand over to that one.
    fn check_confirming_reachability(&self, group: &Group, image: &Image, leadership: &super::GroupLeadership) {
        let now = self.env.now();
        let recent = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let nodes_without_path = |server: &str| {
            let nodes = self.nodes.borrow();
            let max_age_ms = self.bounds.server_missed_after().as_millis() as u64 * 2 / 3;
            let misses = |node: &super::NodeRecord| {
                node.observations
                    .get(server)
                    .is_some_and(|observation| observation.age > max_age_ms || observation.refused)
            };
            nodes.values().filter(|node| !node.is_control_node && node.last_heartbeat > recent && misses(node)).count()
        };
        let primary_count = nodes_without_path(&leadership.server);
        let statuses = if primary_count == 0 { Vec::new() } else { self.statuses_since(group, image, recent) };
        let successor = statuses
            .iter()
            .filter(|status| status.eligible && status.name != leadership.server)
            .map(|status| (nodes_without_path(&status.name), status));
        let Some((_, successor)) =
            successor.min_by_key(|successor| successor.0).filter(|successor| successor.0 < primary_count)
        else {
            return self.update_group(&group.name, |state| state.less_reachable_since = None);
        };
        let less_reachable_since = leadership.less_reachable_since.unwrap_or(now);
        // A single node's word may be chance.
        let required_duration = if primary_count > 1 {
            self.bounds.server_missed_after() / 2
        } else {
            self.bounds.server_missed_after() * 2
        };
        let hand_over = now - less_reachable_since > required_duration
            && now - leadership.proven_since > self.bounds.server_gone_after() * 2;
        self.update_group(&group.name, |state| state.less_reachable_since = Some(less_reachable_since));
        if hand_over {
            self.log(
                Component::Elect,
                format!(
                    "{primary_count} nodes can't reach {}; {} is in sight of more",
                    leadership.server, successor.name
                ),
            );
            self.update_group(&group.name, |state| {
                state.less_reachable_since = None;
                state.requested_primary = Some(successor.name.clone());
            });
        }
    }

    /// Writes down who leads before any grant for it is given: whoever leads the hubs later and sees that same server
    /// lead on that line knows that no grant for another can be out.
    async fn record_primary(&self, group: &Group, primary: &ConfirmingServer) -> bool {
        let recorded = self.consensus.image().and_then(|i| i.election(&group.name).cloned());
        let (index, from) = (primary.position.index, primary.position.epoch);
        let election = Election {
            group: group.name.clone(),
            epoch: primary.epoch,
            server: primary.name.clone(),
            start_epoch: from,
            start_index: index,
        };
        self.write_election(election, recorded).await
    }

    /// Grants for a server that was seen leading, once no grant for another can stand.
    async fn adopt_primary(
        &self,
        group: &Group,
        image: &Image,
        primary: &ConfirmingServer,
        leadership: &super::GroupLeadership,
    ) {
        if leadership.granting {
            self.revoke_leases(&group.name, &format!("{} leads on line {}", primary.name, primary.epoch));
        }
        let recorded = image.election(&group.name).cloned();
        // Nothing was ever granted for a group of which nothing is written down.
        let same_primary =
            recorded.as_ref().is_none_or(|election| election.server == primary.name && election.epoch == primary.epoch);
        let leases_released = || {
            self.leases.borrow().primary_released(&group.name, self.env.now(), same_primary) || self.disabled.no_wait
        };
        for _ in 0..20 {
            if leases_released() {
                break;
            }
            self.env.sleep(self.bounds.control_heartbeat() / 20).await;
        }
        if !leases_released() || !self.consensus.leads() {
            return;
        }
        if recorded.is_none_or(|election| election.server != primary.name || election.epoch != primary.epoch)
            && !self.record_primary(group, primary).await
        {
            return;
        }
        let now = self.env.now();
        self.log(Component::Elect, format!("{} leads {} on line {}", primary.name, group.name, primary.epoch));
        self.update_group(&group.name, |state| {
            state.server.clone_from(&primary.name);
            state.epoch = primary.epoch;
            state.granting = true;
            state.proven = true;
            state.ignore_reported_leases = false;
            state.proven_since = now;
            state.requested_primary = None;
            state.less_reachable_since = None;
        });
        // Whoever was kept from receiving for this election receives again.
        let others = group.servers.iter().filter(|server| **server != primary.name);
        others.for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
        self.relay.request_heartbeats();
        self.state_changed.notify_waiters();
    }

    /// Once a term: the platform hears of this holder by naming the one that leads anyway, so that a call of an earlier
    /// holder that is still under way no longer counts; after a while, servers that one kept from receiving are freed.
    async fn fence_earlier_leader(
        &self,
        group: &Group,
        primary: &ConfirmingServer,
        leadership: &super::GroupLeadership,
    ) {
        let now = self.env.now();
        match leadership.fenced_at {
            // The first term of all has no earlier holder.
            None if self.consensus.term().0 <= 1 => self.update_group(&group.name, |state| {
                state.fenced_at = Some(now);
                state.replicas_resumed = true;
            }),
            None if self.in_promoter_change_pause() => {}
            None => {
                let status = self.promote(group, &primary.name).await;
                if status == Some(200) {
                    self.update_group(&group.name, |state| state.fenced_at = Some(self.env.now()));
                }
            }
            Some(fenced_at) if !leadership.replicas_resumed && now > fenced_at + self.bounds.lease_duration() => {
                group
                    .servers
                    .iter()
                    .filter(|server| **server != primary.name)
                    .for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
                self.update_group(&group.name, |state| state.replicas_resumed = true);
            }
            Some(_) => {}
        }
    }

    /// Whether an earlier holder of the duty that is still well may have used it a moment ago.
    fn in_promoter_change_pause(&self) -> bool {
        let (_, since) = self.consensus.term();
        !self.disabled.no_duty_rest
            && self.env.now() < since + PROMOTER_CHANGE_PAUSE
            && self.consensus.earlier_leader_alive()
    }

    /// Gives an order to a server, to be carried out on this hub's connection to it.
    fn queue_order(&self, server: &str, kind: StatementKind) {
        let mut server_statuses = self.server_statuses.borrow_mut();
        let status = server_statuses.entry(server.into()).or_default();
        status.pending_order = Some(kind);
        status.suspended_status = None;
        drop(server_statuses);
        self.state_changed.notify_waiters();
    }

    /// A number that rises with the term and with each naming of another server in it: a call whose answer was lost may
    /// still come after a later one, and is then refused.
    fn fencing_token(&self, group: &str, server: &str) -> u64 {
        let mut promotion_counts = self.promotion_counts.borrow_mut();
        let (count, last) = promotion_counts.entry(group.into()).or_default();
        if last != server && !self.disabled.one_fence {
            *count += 1;
            *last = server.into();
        }
        self.term.get() << PROMOTION_COUNT_BITS | *count
    }

    /// Calls the platform; the answer's code.
    async fn promote(&self, group: &Group, server: &str) -> Option<u16> {
        let (address, protocol) = (self.platform_address.get()?, self.server_protocol.clone()?);
        let promotion = Promotion {
            group: group.name.clone(),
            server: server.into(),
            holder: self.relay.identity.name.clone(),
            fencing_token: self.fencing_token(&group.name, server),
        };
        let result = protocol.promote(&self.env, address, &promotion, self.bounds.call_timeout()).await;
        match result {
            Ok(200) => Some(200),
            Ok(status) => {
                // Only a refusal is sure not to be carried out.
                self.update_group(&group.name, |state| state.promotion_outcome_unknown |= status >= 500);
                self.log(Component::Elect, format!("the platform answered {status} to naming {server}"));
                Some(status)
            }
            Err(error) => {
                self.update_group(&group.name, |state| state.promotion_outcome_unknown = true);
                self.log(Component::Elect, format!("the call naming {server} failed: {error}"));
                None
            }
        }
    }

    /// Waits until each of these servers has shown that it receives nothing more; the newest place among them.
    async fn suspend_all(&self, names: &[String], epoch: u64, timeout: Duration) -> Option<Position> {
        names.iter().for_each(|server| self.queue_order(server, StatementKind::SuspendReplication { line: epoch }));
        self.urgent_until.set(self.env.now() + timeout);
        let all_suspended = self.state_changed.wait_until(|| {
            let server_statuses = self.server_statuses.borrow();
            let suspended: Vec<_> =
                names.iter().filter_map(|server| server_statuses.get(server)?.suspended_status).collect();
            (suspended.len() == names.len())
                .then(|| suspended.iter().map(|status| status.position).max().unwrap_or_default())
        });
        self.env.timeout(timeout, all_suspended).await.ok()
    }

    fn resume_all(&self, names: &[String]) {
        names.iter().for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
    }

    fn highest_epoch(&self, group: &Group) -> u64 {
        let server_statuses = self.server_statuses.borrow();
        let epochs = group.servers.iter().filter_map(|server| Some(server_statuses.get(server)?.last_status?.1.epoch));
        epochs.max().unwrap_or(0).max(self.leadership_of(&group.name).epoch)
    }

    /// Elects after the leader was lost: all others are kept from receiving and read, and the furthest is named.
    async fn fail_over(&self, group: &Group, lost: &str) {
        if self.in_promoter_change_pause() {
            return;
        }
        let others: Vec<String> = group.servers.iter().filter(|server| *server != lost).cloned().collect();
        let required = if lost.is_empty() { others.len().saturating_sub(1) } else { others.len() };
        if others.is_empty() || required == 0 {
            return;
        }
        if !self.is_membership_settled(group) {
            // A leader that crashed comes back with its log: waiting is safe.
            return self.wait_for_membership(&group.name);
        }
        self.update_group(&group.name, |state| state.waits_for_membership = false);
        let epoch = self.highest_epoch(group) + 1;
        self.log(Component::Elect, format!("new leader needed for {}", group.name));
        if self.disabled.no_hold {
            let is_responding = |server: &&String| {
                self.server_statuses.borrow().get(*server).is_some_and(|status| status.unanswered_since.is_none())
            };
            let candidate = others.iter().find(is_responding).cloned();
            if let Some(server) = candidate {
                self.promote(group, &server).await;
                self.await_primary(group, &server, epoch).await;
            }
            return;
        }
        if lost.is_empty() {
            // Nobody is known to have led: all but one must answer.
            others
                .iter()
                .for_each(|server| self.queue_order(server, StatementKind::SuspendReplication { line: epoch }));
            self.urgent_until.set(self.env.now() + self.bounds.server_gone_after());
            self.env.sleep(self.bounds.server_gone_after()).await;
            let suspended = others
                .iter()
                .filter(|server| {
                    self.server_statuses.borrow().get(*server).is_some_and(|status| status.suspended_status.is_some())
                })
                .count();
            if suspended < required {
                return self.resume_all(&others);
            }
        } else if self.suspend_all(&others, epoch, self.bounds.server_gone_after()).await.is_none() {
            let missing = others.iter().filter(|server| {
                self.server_statuses.borrow().get(*server).is_none_or(|status| status.suspended_status.is_none())
            });
            let missing: Vec<_> = missing.cloned().collect();
            self.log(
                Component::Elect,
                format!("{} can't be read; no leader for {} yet", missing.join(" "), group.name),
            );
            if self.unanswered_for(lost) < self.bounds.server_missed_after() {
                self.resume_all(&others);
            }
            return;
        }
        if !self.consensus.leads() {
            return;
        }
        if self.unanswered_for(lost) < self.bounds.server_missed_after() && !lost.is_empty() {
            self.log(Component::Elect, format!("{lost} answers again"));
            return self.resume_all(&others);
        }
        if !self.is_membership_settled(group) {
            // Whoever came meanwhile is to be kept from receiving and read too.
            return self
                .log(Component::Elect, format!("the servers of {} changed; its election begins anew", group.name));
        }
        let best = {
            let server_statuses = self.server_statuses.borrow();
            let servers = self.servers.borrow();
            let image = self.consensus.image();
            let suspended_servers = others
                .iter()
                .filter_map(|server| Some((server.clone(), server_statuses.get(server)?.suspended_status?)));
            let eligible = |server: &String| {
                let evacuated =
                    |zone: &String| image.as_ref().is_some_and(|image| image.evacuated_zones.contains(zone));
                servers.get(server).is_some_and(|record| !record.draining && !record.gone && !evacuated(&record.zone))
            };
            suspended_servers
                .max_by_key(|(server, status)| (status.position, eligible(server)))
                .map(|(server, _)| server)
        };
        let Some(best) = best else { return };
        self.log(Component::Elect, format!("naming {best} for {}", group.name));
        if self.promote(group, &best).await != Some(200) {
            return;
        }
        self.await_primary(group, &best, epoch).await;
    }

    /// Notes that an election waits until the list of a group's servers is complete.
    fn wait_for_membership(&self, group: &str) {
        if !self.leadership_of(group).waits_for_membership {
            self.log(Component::Elect, format!("{group}: a server may not be listed yet; no election"));
        }
        self.update_group(group, |state| state.waits_for_membership = true);
    }

    /// Waits for the named server to be seen leading.
    async fn await_primary(&self, group: &Group, server: &str, epoch: u64) -> bool {
        let timeout = self.bounds.server_gone_after();
        self.urgent_until.set(self.env.now() + timeout);
        let is_primary = |name: &str| {
            let server_statuses = self.server_statuses.borrow();
            server_statuses
                .get(name)
                .and_then(|status| status.last_status)
                .is_some_and(|(_, status)| status.is_primary && status.epoch >= epoch)
        };
        let wait = self.state_changed.wait_until(|| is_primary(server).then_some(()));
        let became_primary = self.env.timeout(timeout, wait).await.is_ok();
        if !became_primary {
            self.log(Component::Elect, format!("{server} does not lead {} yet", group.name));
        }
        became_primary
    }

    /// Hands over from a primary that answers to the one that is furthest and fit.
    async fn hand_over(&self, group: &Group, image: &Image, from: &str, requested: Option<String>) {
        if self.in_promoter_change_pause() {
            return;
        }
        let statuses =
            self.statuses_since(group, image, self.env.now().saturating_sub(self.bounds.server_missed_after()));
        let next = statuses
            .iter()
            .filter(|status| {
                status.eligible
                    && status.name != from
                    && requested.as_ref().is_none_or(|requested| *requested == status.name)
            })
            .max_by_key(|status| (status.position, std::cmp::Reverse(status.cold_step)));
        let Some(next) = next else { return };
        let epoch = self.highest_epoch(group) + 1;
        self.log(Component::Elect, format!("{from} is to hand {} over to {}", group.name, next.name));
        self.transfer_primary(group, from, &next.name, epoch).await;
    }

    /// The old primary is told to follow, so that it confirms nothing more, and what it holds then is what the next one must
    /// hold; else it is named again. No list of servers is relied on: one that is coming may receive already and has not
    /// made itself known.
    async fn transfer_primary(&self, group: &Group, from: &str, next: &str, epoch: u64) {
        self.update_group(&group.name, |state| state.requested_primary = None);
        if self.disabled.any_list {
            // Tests see what becomes of commits that a server on no list confirms.
            self.promote(group, next).await;
            self.await_primary(group, next, epoch).await;
            return;
        }
        self.queue_order(from, StatementKind::StepDown { line: epoch });
        self.urgent_until.set(self.env.now() + self.bounds.server_gone_after());
        let suspended_status =
            |name: &str| self.server_statuses.borrow().get(name).and_then(|status| status.suspended_status);
        let wait = self.state_changed.wait_until(|| suspended_status(from));
        let Ok(final_status) = self.env.timeout(self.bounds.server_missed_after(), wait).await else {
            self.log(Component::Elect, format!("{from} can't be told to follow"));
            // The order must not be carried out later on.
            return self.cancel_order(from);
        };
        let has_caught_up = || {
            let server_statuses = self.server_statuses.borrow();
            server_statuses
                .get(next)
                .and_then(|status| status.last_status)
                .is_some_and(|(_, status)| status.position >= final_status.position)
        };
        let wait = self.state_changed.wait_until(|| has_caught_up().then_some(()));
        let caught_up = self.env.timeout(self.bounds.server_missed_after() / 2, wait).await.is_ok();
        let name = if caught_up { next } else { from };
        self.log(Component::Elect, format!("{from} follows; naming {name} for {}", group.name));
        if self.promote(group, name).await == Some(200) {
            self.await_primary(group, name, epoch).await;
        }
    }

    fn cancel_order(&self, server: &str) {
        if let Some(status) = self.server_statuses.borrow_mut().get_mut(server) {
            status.pending_order = None;
        }
    }
}
