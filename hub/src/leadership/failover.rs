//! Failover and planned hand-over in groups whose servers confirm commits themselves.
//!
//! The servers report which of them is primary. The leading control node decides only which server is promoted next,
//! and which leases on a primary are granted. docs/platform.md explains why no acknowledged commit is lost.

use std::time::Duration;

use base::{
    position::Position,
    protocol::{Promotion, StatementKind},
    runtime::Component,
};
use wire::{Election, Group, Image};

use super::Leadership;

/// How many low bits of a fencing token count the promotions within a term; the bits above hold the term.
const PROMOTION_COUNT_BITS: u32 = 20;

/// How long a new leader waits before it promotes a server while the previous leader is still alive. The platform
/// expects at most one control node to promote servers in any interval of this length.
const PROMOTER_CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// A recently reported status of a server that confirms commits.
struct ConfirmingServer {
    name: String,
    is_primary: bool,
    epoch: u64,
    position: Position,
    /// Neither draining nor gone nor in an evacuated zone.
    eligible: bool,
    /// How cold the server is, in twentieths.
    cold_step: u32,
}

impl Leadership {
    /// The statuses of a group's servers that were requested at `since` or later.
    fn statuses_since(&self, group: &Group, image: &Image, since: Duration) -> Vec<ConfirmingServer> {
        let server_statuses = self.server_statuses.borrow();
        let servers = self.servers.borrow();
        let recent_status = |server: &String| {
            let (requested_at, status) = server_statuses.get(server)?.last_status?;
            let record = servers.get(server)?;
            (requested_at >= since).then(|| ConfirmingServer {
                name: server.clone(),
                is_primary: status.is_primary,
                epoch: status.epoch,
                position: status.position,
                eligible: !record.draining && !record.gone && !image.evacuated_zones.contains(&record.zone),
                cold_step: (record.cold * 20.0) as u32,
            })
        };
        group.servers.iter().filter_map(recent_status).collect()
    }

    /// The server that recently reported itself as primary, in the highest epoch if several did.
    fn observed_primary(&self, group: &Group, image: &Image) -> Option<ConfirmingServer> {
        let since = self.env.now().saturating_sub(self.bounds.server_missed_after());
        self.statuses_since(group, image, since)
            .into_iter()
            .filter(|server| server.is_primary)
            .max_by_key(|server| server.epoch)
    }

    /// For how long requests to a server have gone unanswered: the median over this control node and all nodes with a
    /// recent heartbeat. A refused connection counts as twice `server_missed_after`, because waiting longer at an
    /// address without a listener gives no further information.
    pub(super) fn unanswered_for(&self, server: &str) -> Duration {
        let now = self.env.now();
        let recent = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let refused_age = self.bounds.server_missed_after() * 2;
        let own_age = match self.server_statuses.borrow().get(server) {
            Some(status) if status.refusals > 1 => refused_age,
            Some(status) => status.unanswered_since.map_or(Duration::ZERO, |since| self.watched_since(since)),
            None => Duration::ZERO,
        };
        let mut ages = vec![own_age];
        for node in self.nodes.borrow().values().filter(|node| !node.is_control_node && node.last_heartbeat > recent) {
            if let Some(observation) = node.observations.get(server) {
                let report_age = self.watched_since(node.last_heartbeat).saturating_sub(self.bounds.node_heartbeat());
                ages.push(if observation.refused {
                    refused_age
                } else {
                    Duration::from_millis(observation.age_ms) + report_age
                });
            }
        }
        ages.sort();
        ages[(ages.len() - 1) / 2]
    }

    /// Takes over a lease that a node reports and that an earlier leader granted. All leases on this group's primary
    /// that were outstanding at the same time name the same server.
    pub(super) fn adopt_reported_lease(&self, lease: &wire::PrimaryLeaseGrant) {
        let mut group_leadership = self.group_leadership.borrow_mut();
        let Some(leadership) = group_leadership.get_mut(&lease.group) else { return };
        if leadership.server.is_empty() && !leadership.ignore_reported_leases {
            leadership.server.clone_from(&lease.server);
            leadership.epoch = lease.epoch;
            leadership.granting = true;
            leadership.proven = true;
        }
    }

    /// A copy of a group's leadership status; the default where there is none yet.
    fn leadership_of(&self, group: &str) -> super::GroupLeadership {
        self.group_leadership.borrow().get(group).cloned().unwrap_or_default()
    }

    /// Stops granting leases on a group's primary and has the nodes give theirs back.
    fn revoke_leases(&self, group: &str, reason: &str) {
        let was_granting = self.leadership_of(group).granting;
        self.update_group(group, |state| {
            state.granting = false;
            state.proven = false;
            state.ignore_reported_leases = true;
            state.reason = reason.into();
        });
        if was_granting {
            self.log(Component::Election, format!("leases on the primary of {group} are revoked: {reason}"));
            self.relay.request_heartbeats();
            self.state_changed.notify_waiters();
        }
    }

    /// Checks a group once: records the primary that its servers report, grants or revokes leases, and starts a
    /// failover or a hand-over where one is needed.
    pub(super) async fn supervise_confirming(&self, group: &Group, image: &Image) {
        let mut leadership = self.leadership_of(&group.name);
        let now = self.env.now();
        let observed = self.observed_primary(group, image);
        if !leadership.server.is_empty() && !group.servers.contains(&leadership.server) {
            // Another server took its place in the list, and nobody can tell it to step down any more.
            self.revoke_leases(&group.name, &format!("{} has left", leadership.server));
            self.update_group(&group.name, |state| state.server.clear());
            leadership.server.clear();
        }
        if leadership.server.is_empty()
            && let Some(election) =
                image.election(&group.name).filter(|election| group.servers.contains(&election.server))
        {
            // No lease was granted on any other server since this election was recorded.
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
            // No server reports that it is primary, and no node holds a lease.
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
        if observed.is_none() && self.has_stepped_down(&leadership.server) {
            self.revoke_leases(&group.name, &format!("{} has stepped down", leadership.server));
            self.end_hand_over(group, image, &leadership.server).await;
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
                Component::Election,
                format!("{} {}", leadership.server, if granting { "is answering" } else { "is not answering" }),
            );
            self.relay.request_heartbeats();
        }
        if is_primary && !leadership.promotion_outcome_unknown {
            self.resume_suspended(group, &leadership.server);
        }
        self.check_confirming_reachability(group, image, &leadership);
    }

    /// Resumes replication on servers that an abandoned failover had suspended, now that the primary answers again.
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

    /// Requests a hand-over when some nodes can't reach the primary and more nodes can reach another eligible server.
    fn check_confirming_reachability(&self, group: &Group, image: &Image, leadership: &super::GroupLeadership) {
        let now = self.env.now();
        let recent = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let nodes_without_path = |server: &str| {
            let nodes = self.nodes.borrow();
            let max_age_ms = self.bounds.server_missed_after().as_millis() as u64 * 2 / 3;
            let misses = |node: &super::NodeRecord| {
                node.observations
                    .get(server)
                    .is_some_and(|observation| observation.age_ms > max_age_ms || observation.refused)
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
        // The report of a single node may be a coincidence, so it has to hold for longer.
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
                Component::Election,
                format!(
                    "{primary_count} nodes can't reach {}; more nodes can reach {}",
                    leadership.server, successor.name
                ),
            );
            self.update_group(&group.name, |state| {
                state.less_reachable_since = None;
                state.requested_primary = Some(successor.name.clone());
            });
        }
    }

    /// Records the primary before any lease on it is granted. A later leader that observes the same server as primary
    /// in the same epoch can then conclude that no lease on another server is outstanding.
    async fn record_primary(&self, group: &Group, primary: &ConfirmingServer) -> bool {
        let recorded = self.consensus.image().and_then(|image| image.election(&group.name).cloned());
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

    /// Starts to grant leases on a server that was observed as primary, once no lease on another server can be in
    /// force.
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
        // Without a recorded election no lease was ever granted for the group.
        let same_primary =
            recorded.as_ref().is_none_or(|election| election.server == primary.name && election.epoch == primary.epoch);
        let leases_released = || {
            self.leases.borrow().primary_released(&group.name, self.env.now(), same_primary)
                || self.disabled.skip_lease_wait
        };
        for _ in 0..20 {
            if leases_released() {
                break;
            }
            self.env.sleep(self.bounds.control_heartbeat() / 20).await;
        }
        if !leases_released() || !self.consensus.leads_with_lease() {
            return;
        }
        if recorded.is_none_or(|election| election.server != primary.name || election.epoch != primary.epoch)
            && !self.record_primary(group, primary).await
        {
            return;
        }
        let now = self.env.now();
        self.log(
            Component::Election,
            format!("{} is primary of {} in epoch {}", primary.name, group.name, primary.epoch),
        );
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
        // Servers that were suspended for this election resume replication.
        let others = group.servers.iter().filter(|server| **server != primary.name);
        others.for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
        self.relay.request_heartbeats();
        self.state_changed.notify_waiters();
    }

    /// Once per term, promotes the server that is primary already. The platform thereby learns this term's fencing
    /// token and refuses calls of an earlier leader that are still in transit. One lease duration later, servers that
    /// the earlier leader may have suspended resume replication.
    async fn fence_earlier_leader(
        &self,
        group: &Group,
        primary: &ConfirmingServer,
        leadership: &super::GroupLeadership,
    ) {
        let now = self.env.now();
        match leadership.fenced_at {
            // There is no earlier leader before the first term.
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

    /// Whether an earlier leader that is still alive may have promoted a server a moment ago.
    fn in_promoter_change_pause(&self) -> bool {
        let (_, since) = self.consensus.term();
        !self.disabled.no_promoter_change_pause
            && self.env.now() < since + PROMOTER_CHANGE_PAUSE
            && self.consensus.former_leader_follows()
    }

    /// Queues a statement for a server, to be sent on this control node's connection to it.
    fn queue_order(&self, server: &str, kind: StatementKind) {
        let mut server_statuses = self.server_statuses.borrow_mut();
        let status = server_statuses.entry(server.into()).or_default();
        status.pending_order = Some(kind);
        status.suspended_status = None;
        drop(server_statuses);
        self.state_changed.notify_waiters();
    }

    /// A number that rises with the term and, within it, with each promotion of another server. A call whose response
    /// was lost may arrive after a later call; the platform then refuses it.
    fn fencing_token(&self, group: &str, server: &str) -> u64 {
        let mut promotion_counts = self.promotion_counts.borrow_mut();
        let (count, last) = promotion_counts.entry(group.into()).or_default();
        if last != server && !self.disabled.one_fencing_token {
            *count += 1;
            *last = server.into();
        }
        self.term.get() << PROMOTION_COUNT_BITS | *count
    }

    /// Asks the platform to promote a server. Returns the status of the response, or nothing if no response came.
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
                // Only a refusal guarantees that the promotion is not carried out.
                self.update_group(&group.name, |state| state.promotion_outcome_unknown |= status >= 500);
                self.log(Component::Election, format!("the platform answered {status} to the promotion of {server}"));
                Some(status)
            }
            Err(error) => {
                self.update_group(&group.name, |state| state.promotion_outcome_unknown = true);
                self.log(Component::Election, format!("the call to promote {server} failed: {error}"));
                None
            }
        }
    }

    /// Suspends replication on these servers and waits until each has confirmed it. Returns the highest position among
    /// them, or nothing after the timeout.
    async fn suspend_all(&self, names: &[String], epoch: u64, timeout: Duration) -> Option<Position> {
        names.iter().for_each(|server| self.queue_order(server, StatementKind::SuspendReplication { epoch }));
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

    /// Has these servers resume replication.
    fn resume_all(&self, names: &[String]) {
        names.iter().for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
    }

    /// The highest epoch that is known of a group.
    fn highest_epoch(&self, group: &Group) -> u64 {
        let server_statuses = self.server_statuses.borrow();
        let epochs = group.servers.iter().filter_map(|server| Some(server_statuses.get(server)?.last_status?.1.epoch));
        epochs.max().unwrap_or(0).max(self.leadership_of(&group.name).epoch)
    }

    /// Fails over after the primary `lost` was lost: suspends replication on all other servers, reads their positions
    /// and promotes the one with the highest. An empty `lost` means that no primary is known.
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
            // A primary that crashed returns with its log, so waiting is safe.
            return self.wait_for_membership(&group.name);
        }
        self.update_group(&group.name, |state| state.waits_for_membership = false);
        let epoch = self.highest_epoch(group) + 1;
        self.log(Component::Election, format!("new primary needed for {}", group.name));
        if self.disabled.no_replication_suspension {
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
            // The previous primary is unknown, so all servers but one must answer.
            others.iter().for_each(|server| self.queue_order(server, StatementKind::SuspendReplication { epoch }));
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
                Component::Election,
                format!("{} can't be read; no primary for {} yet", missing.join(" "), group.name),
            );
            if self.unanswered_for(lost) < self.bounds.server_missed_after() {
                self.resume_all(&others);
            }
            return;
        }
        if !self.consensus.leads_with_lease() {
            return;
        }
        if self.unanswered_for(lost) < self.bounds.server_missed_after() && !lost.is_empty() {
            self.log(Component::Election, format!("{lost} answers again"));
            return self.resume_all(&others);
        }
        if !self.is_membership_settled(group) {
            // A server that registered meanwhile has to be suspended and read too.
            return self
                .log(Component::Election, format!("the servers of {} changed; its election starts again", group.name));
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
            suspended_servers.max_by_key(|(server, status)| (status.position, eligible(server))).map(|best| best.0)
        };
        let Some(best) = best else { return };
        self.log(Component::Election, format!("promoting {best} in {}", group.name));
        if self.promote(group, &best).await != Some(200) {
            return;
        }
        self.await_primary(group, &best, epoch).await;
    }

    /// Records that an election waits until the list of a group's servers is complete.
    fn wait_for_membership(&self, group: &str) {
        if !self.leadership_of(group).waits_for_membership {
            self.log(Component::Election, format!("{group}: a server may not be registered yet; no election"));
        }
        self.update_group(group, |state| state.waits_for_membership = true);
    }

    /// Waits until the promoted server reports that it is primary in `epoch` or a later one; false after the timeout.
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
            self.log(Component::Election, format!("{server} is not primary of {} yet", group.name));
        }
        became_primary
    }

    /// Plans a hand-over from a primary that answers to the eligible server with the highest position, or to the
    /// requested one.
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
        self.log(Component::Election, format!("{from} hands {} over to {}", group.name, next.name));
        self.transfer_primary(group, from, &next.name, epoch).await;
    }

    /// Has the old primary step down, so that it confirms no further commits, and promotes `next` once it holds
    /// everything that the old primary holds then; otherwise promotes the old primary again. This does not rely on the
    /// list of servers: one that has not registered yet may replicate already.
    async fn transfer_primary(&self, group: &Group, from: &str, next: &str, epoch: u64) {
        self.update_group(&group.name, |state| state.requested_primary = None);
        if self.disabled.any_membership {
            // Without the guard, tests observe what happens to commits that an unregistered server confirmed.
            self.promote(group, next).await;
            self.await_primary(group, next, epoch).await;
            return;
        }
        self.queue_order(from, StatementKind::StepDown { epoch });
        self.urgent_until.set(self.env.now() + self.bounds.server_gone_after());
        let suspended_status =
            |name: &str| self.server_statuses.borrow().get(name).and_then(|status| status.suspended_status);
        let wait = self.state_changed.wait_until(|| suspended_status(from));
        let Ok(final_status) = self.env.timeout(self.bounds.server_missed_after(), wait).await else {
            self.log(Component::Election, format!("{from} did not confirm that it stepped down"));
            // The statement must not be sent later.
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
        self.log(Component::Election, format!("{from} stepped down; promoting {name} in {}", group.name));
        if self.promote(group, name).await == Some(200) {
            self.await_primary(group, name, epoch).await;
        }
    }

    /// Whether a server, asked recently, reported itself as a replica.
    fn has_stepped_down(&self, server: &str) -> bool {
        let since = self.env.now().saturating_sub(self.bounds.server_missed_after());
        let server_statuses = self.server_statuses.borrow();
        let status = server_statuses.get(server).and_then(|status| status.last_status);
        status.is_some_and(|(requested_at, status)| requested_at >= since && !status.is_primary)
    }

    /// Ends a hand-over whose reason no longer holds after the old primary had stepped down: promotes the eligible
    /// server with the highest position, which is the old primary again unless it may not lead. Until this control node
    /// grants leases on another server, no commit is acknowledged elsewhere, so the old primary holds all of them.
    async fn end_hand_over(&self, group: &Group, image: &Image, from: &str) {
        if self.in_promoter_change_pause() || self.disabled.leave_hand_over {
            return;
        }
        let since = self.env.now().saturating_sub(self.bounds.server_missed_after());
        let statuses = self.statuses_since(group, image, since);
        let eligible = statuses.iter().filter(|status| status.eligible);
        let Some(next) = eligible.max_by_key(|status| (status.position, status.name == from)) else { return };
        let epoch = self.highest_epoch(group) + 1;
        self.log(Component::Election, format!("nobody leads {}: {from} stepped down", group.name));
        self.transfer_primary(group, from, &next.name, epoch).await;
    }

    /// Drops the statement that is queued for a server.
    fn cancel_order(&self, server: &str) {
        if let Some(status) = self.server_statuses.borrow_mut().get_mut(server) {
            status.pending_order = None;
        }
    }
}
