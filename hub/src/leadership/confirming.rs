//! Supervision of groups whose servers confirm commits themselves: their servers report which of them is primary. The
//! leading control node decides which leases on it are granted, and when another has to be promoted.

use std::time::Duration;

use base::{position::Position, protocol::StatementKind, runtime::Component};
use wire::{Election, Group, Image};

use super::{
    Leadership,
    reachability::LessReachable,
    supervision::{NextStep, ReportedPrimary, Responsiveness, Situation},
};

/// A recently reported status of a server that confirms commits.
pub(super) struct ConfirmingServer {
    pub(super) name: String,
    pub(super) is_primary: bool,
    pub(super) epoch: u64,
    pub(super) position: Position,
    /// Neither draining nor gone nor in an evacuated zone.
    pub(super) eligible: bool,
    /// How cold the server is, in twentieths.
    pub(super) cold_step: u32,
}

impl Leadership {
    /// The statuses of a group's servers that were requested at `since` or later.
    pub(super) fn statuses_since(&self, group: &Group, image: &Image, since: Duration) -> Vec<ConfirmingServer> {
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
    pub(super) fn observed_primary(&self, group: &Group, image: &Image) -> Option<ConfirmingServer> {
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
    pub(super) fn leadership_of(&self, group: &str) -> super::GroupLeadership {
        self.group_leadership.borrow().get(group).cloned().unwrap_or_default()
    }

    /// Stops granting leases on a group's primary and has the nodes give theirs back.
    pub(super) fn revoke_leases(&self, group: &str, reason: &str) {
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

    /// Checks a group once: records the primary that its servers report, and takes the next step that its situation
    /// asks for.
    pub(super) async fn supervise_confirming(&self, group: &Group, image: &Image) {
        let leadership = self.known_leadership(group, image);
        let observed = self.observed_primary(group, image);
        if let Some(primary) = &observed {
            self.fence_unfinished_promotions(group, primary, &leadership).await;
            if leadership.server == primary.name {
                self.record_observed_primary(group, image, primary, &leadership).await;
            }
        }
        let situation = self.situation(group, image, &leadership, observed.as_ref());
        match situation.next_step() {
            NextStep::Wait => {}
            NextStep::AdoptReported => {
                if let Some(primary) = &observed {
                    self.adopt_primary(group, image, primary, &leadership).await;
                }
            }
            NextStep::ElectFirst => self.fail_over(group, "").await,
            NextStep::FailOver => {
                self.revoke_leases(&group.name, &format!("{} does not answer", leadership.server));
                self.update_group(&group.name, |state| state.requested_primary = None);
                self.fail_over(group, &leadership.server).await;
            }
            NextStep::HandOver => self.hand_over(group, image, &leadership).await,
            NextStep::PromoteSuccessor => {
                self.revoke_leases(&group.name, &format!("{} has stepped down", leadership.server));
                self.promote_successor(group, image, &leadership).await;
            }
            NextStep::Keep { grant_leases } => {
                self.keep_primary(group, image, &leadership, situation.is_primary(), grant_leases);
            }
        }
    }

    /// The leadership status of a group, after a primary that left the group was forgotten and a recorded one was taken
    /// over.
    fn known_leadership(&self, group: &Group, image: &Image) -> super::GroupLeadership {
        let known = self.leadership_of(&group.name).server;
        if !known.is_empty() && !group.servers.contains(&known) {
            // Another server took its place in the list, and nobody can tell it to step down any more.
            self.revoke_leases(&group.name, &format!("{known} has left"));
            self.update_group(&group.name, |state| state.server.clear());
        }
        if self.leadership_of(&group.name).server.is_empty()
            && let Some(election) =
                image.election(&group.name).filter(|election| group.servers.contains(&election.server))
        {
            // No lease was granted on any other server since this election was recorded.
            self.update_group(&group.name, |state| {
                (state.server, state.epoch) = (election.server.clone(), election.epoch)
            });
        }
        self.leadership_of(&group.name)
    }

    /// Records the epoch in which the known primary was observed.
    async fn record_observed_primary(
        &self,
        group: &Group,
        image: &Image,
        primary: &ConfirmingServer,
        leadership: &super::GroupLeadership,
    ) {
        if primary.epoch > leadership.epoch {
            self.update_group(&group.name, |state| state.epoch = primary.epoch);
        }
        let is_recorded = image
            .election(&group.name)
            .is_some_and(|election| election.server == primary.name && election.epoch == primary.epoch);
        if !is_recorded {
            self.record_primary(group, primary).await;
        }
    }

    /// What the decision on a group depends on.
    fn situation(
        &self,
        group: &Group,
        image: &Image,
        leadership: &super::GroupLeadership,
        observed: Option<&ConfirmingServer>,
    ) -> Situation {
        let now = self.env.now();
        let known = &leadership.server;
        let missed_after = self.bounds.server_missed_after();
        let reported = match observed {
            None => ReportedPrimary::Nobody,
            Some(primary) if primary.name == *known => ReportedPrimary::Known,
            Some(primary) if known.is_empty() || primary.epoch > leadership.epoch => ReportedPrimary::Later,
            Some(_) => ReportedPrimary::Outdated,
        };
        let unanswered = if known.is_empty() { Duration::ZERO } else { self.unanswered_for(known) };
        let responsiveness = if unanswered > missed_after {
            Responsiveness::Silent
        } else if unanswered >= missed_after / 2 {
            Responsiveness::Late
        } else {
            Responsiveness::Responding
        };
        let statuses = self.statuses_since(group, image, now.saturating_sub(missed_after));
        let is_eligible = |name: &str| statuses.iter().any(|status| status.eligible && status.name == name);
        let (_, term_start) = self.consensus.term();
        Situation {
            has_known_primary: !known.is_empty(),
            reported,
            responsiveness,
            has_stepped_down: self.has_stepped_down(known),
            must_be_relieved: self.must_be_relieved(image, known),
            known_is_eligible: is_eligible(known),
            other_is_eligible: statuses.iter().any(|status| status.eligible && status.name != *known),
            requested_is_eligible: leadership.requested_primary.as_deref().is_some_and(|requested| {
                requested != known && group.servers.iter().any(|server| server == requested) && is_eligible(requested)
            }),
            proven: leadership.proven,
            leases_released: self.leases.borrow().primary_free(&group.name, now),
            first_election_due: group.servers.len() > 1 && now > term_start + missed_after * 2,
            may_promote: self.may_promote(&group.name),
            promotions_settled: leadership.replicas_resumed || self.disabled.step_down_unsettled,
            reported_is_last_promoted: observed
                .is_some_and(|primary| self.is_last_promoted(&group.name, &primary.name)),
        }
    }

    /// Whether a primary drains, has deregistered or is in an evacuated zone, or is not known at all.
    fn must_be_relieved(&self, image: &Image, primary: &str) -> bool {
        self.servers
            .borrow()
            .get(primary)
            .is_none_or(|record| record.draining || record.deregistered || image.evacuated_zones.contains(&record.zone))
    }

    /// Keeps the known primary: grants leases on it or not, and has replicas resume that a failover suspended.
    fn keep_primary(
        &self,
        group: &Group,
        image: &Image,
        leadership: &super::GroupLeadership,
        is_primary: bool,
        grant_leases: bool,
    ) {
        if grant_leases != leadership.granting {
            self.update_group(&group.name, |state| {
                state.granting = grant_leases;
                state.proven = grant_leases;
                state.ignore_reported_leases = false;
            });
            self.log(
                Component::Election,
                format!("{} {}", leadership.server, if grant_leases { "is answering" } else { "is not answering" }),
            );
            self.relay.request_heartbeats();
        }
        if is_primary && self.may_resume_replicas(leadership) {
            self.resume_suspended(group, &leadership.server);
        }
        self.drop_request_that_cannot_be_met(group, image, leadership);
        if leadership.replicas_resumed {
            // Before that a hand-over would have to wait, and its reason might be gone by then.
            self.check_confirming_reachability(group, image, leadership);
        }
    }

    /// Resumes replication on servers that an abandoned failover had suspended, now that the primary answers again.
    pub(super) fn resume_suspended(&self, group: &Group, primary: &str) {
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
    pub(super) fn check_confirming_reachability(
        &self,
        group: &Group,
        image: &Image,
        leadership: &super::GroupLeadership,
    ) {
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
        // The report of a single node may be a coincidence, so it has to hold for longer.
        let required_duration = if primary_count > 1 {
            self.bounds.server_missed_after() / 2
        } else {
            self.bounds.server_missed_after() * 2
        };
        let less_reachable = LessReachable {
            group: &group.name,
            primary: &leadership.server,
            missing_nodes: primary_count,
            successor: &successor.name,
        };
        self.request_reachable_primary(less_reachable, leadership, required_duration);
    }

    /// Records the primary before any lease on it is granted. A later leader that observes the same server as primary
    /// in the same epoch can then conclude that no lease on another server is outstanding.
    pub(super) async fn record_primary(&self, group: &Group, primary: &ConfirmingServer) -> bool {
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
    pub(super) async fn adopt_primary(
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
        if self.may_resume_replicas(leadership) {
            // Servers that were suspended for this election resume replication.
            let others = group.servers.iter().filter(|server| **server != primary.name);
            others.for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
        }
        self.relay.request_heartbeats();
        self.state_changed.notify_waiters();
    }
}
