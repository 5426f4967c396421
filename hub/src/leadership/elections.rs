//! Elections in groups whose primary is elected here, from the logs that the control node reads, and the supervision of
//! each group.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::backend,
    http::Client,
    position::Position,
    runtime::{Component, TaskGuard},
};
use wire::{Election, Group, Image};

use super::{Leadership, reachability::LessReachable};

/// The leadership status of a group.
#[derive(Clone, Debug, Default)]
pub struct GroupLeadership {
    /// The epoch that the primary was elected for.
    pub epoch: u64,
    /// The primary of a group whose servers confirm commits; empty while unknown and in other groups.
    pub server: String,
    /// When the platform accepted a promotion with this term's fencing token; it refuses earlier leaders' calls since
    /// then.
    pub fenced_at: Option<Duration>,
    /// Servers that an earlier leader may have suspended were ordered to resume replication.
    pub replicas_resumed: bool,
    /// Whether leases on the primary are granted.
    pub granting: bool,
    /// Whether the elected server was observed as primary in its epoch, with a second server replicating from it.
    pub proven: bool,
    /// Since when that holds.
    pub proven_since: Duration,
    /// An election was begun in this term, so leases of the epoch before that nodes still report are ignored.
    pub ignore_reported_leases: bool,
    /// The server to hand over to, by request of an operator or because more nodes can reach it.
    pub requested_primary: Option<String>,
    /// Since when more nodes can reach another server than the primary.
    pub less_reachable_since: Option<Duration>,
    /// Until when the primary is to hand over, because an operator removes it from the group.
    pub handover_deadline: Option<Duration>,
    /// The outcome of a promotion in this term is unknown: it may still be carried out.
    pub promotion_outcome_unknown: bool,
    /// The server that the newest call of this term was to make primary; empty if there was none, or if that call was for
    /// a server that led already.
    pub last_promoted: String,
    /// How many calls to promote a server have failed in a row.
    pub failed_promotion_calls: u32,
    /// No server is promoted before this time, as the platform did not take the last call.
    pub next_promotion_at: Duration,
    /// An election is needed, but the list of servers is not known to be complete.
    pub waits_for_membership: bool,
    /// Why the next election is held.
    pub reason: String,
}

/// A server that could become primary.
struct Candidate {
    name: String,
    position: Position,
    log_id: u64,
    /// Neither draining nor gone, neither in an evacuated zone nor leaving the group.
    eligible: bool,
    /// How cold the server is, in twentieths.
    cold_step: u32,
}

impl Leadership {
    /// Keeps one supervision task for each group.
    pub(super) async fn supervise_groups(self: Rc<Self>) {
        let mut tasks: BTreeMap<String, TaskGuard> = BTreeMap::new();
        loop {
            let groups: Vec<String> = self
                .consensus
                .image()
                .iter()
                .flat_map(|image| image.groups.iter().map(|group| group.name.clone()))
                .collect();
            tasks.retain(|group, _| groups.contains(group));
            self.group_leadership.borrow_mut().retain(|group, _| groups.contains(group));
            for group in groups {
                tasks.entry(group.clone()).or_insert_with(|| {
                    self.group_leadership.borrow_mut().entry(group.clone()).or_default();
                    let leadership = self.clone();
                    self.env.spawn(async move { leadership.supervise_group(group).await })
                });
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    /// Changes a group's leadership status, if the group exists.
    pub(super) fn update_group(&self, group: &str, change: impl FnOnce(&mut GroupLeadership)) {
        if let Some(state) = self.group_leadership.borrow_mut().get_mut(group) {
            change(state);
        }
    }

    /// The leadership status of each group.
    pub fn group_leadership(&self) -> Vec<(String, GroupLeadership)> {
        self.group_leadership.borrow().iter().map(|(group, state)| (group.clone(), state.clone())).collect()
    }

    /// Records an operator's request that a server become primary of its group. Fails with `Invalid` if the server is
    /// in no group, and with `Unconfirmed` while this control node has no confirmed state.
    pub fn request_handover(&self, server: &str) -> Result<(), ErrorKind> {
        let image = self.consensus.image().ok_or(ErrorKind::Unconfirmed)?;
        let group = image.group_of(server).ok_or(ErrorKind::Invalid)?;
        self.update_group(&group.name, |state| state.requested_primary = Some(server.into()));
        Ok(())
    }

    /// Has a primary hand over before it is removed from its group; false if no server could take over in time.
    pub async fn hand_over_before_removal(&self, group: &str, server: &str) -> bool {
        let deadline = self.env.now() + self.bounds.call_timeout() * 2;
        self.update_group(group, |state| state.handover_deadline = Some(deadline));
        let wait = self.state_changed.wait_until(|| {
            let image = self.consensus.image()?;
            let another_elected = image.election(group).is_none_or(|election| election.server != server);
            let proven = self.group_leadership.borrow().get(group).is_some_and(|state| state.proven);
            (another_elected && proven).then_some(())
        });
        let handed_over = self.env.timeout(deadline.saturating_sub(self.env.now()), wait).await.is_ok();
        self.update_group(group, |state| state.handover_deadline = None);
        handed_over
    }

    /// Elects, checks and replaces the primary of one group for as long as this control node leads.
    async fn supervise_group(&self, name: String) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat() / 2).await;
            if !self.consensus.leads_with_lease() {
                continue;
            }
            let Some(image) = self.consensus.image() else { continue };
            let Some(group) = image.groups.iter().find(|group| group.name == name).cloned() else { continue };
            let leadership = self.group_leadership.borrow().get(&name).cloned().unwrap_or_default();
            if group.confirms {
                self.supervise_confirming(&group, &image).await;
                continue;
            }
            match image.election(&name).cloned() {
                None => self.elect_primary(&group, None, false).await,
                Some(election) => self.check_primary(&group, &election, leadership, &image).await,
            }
        }
    }

    /// Checks the elected primary: grants leases once it is proven, and elects another when it is lost or has to hand
    /// over.
    async fn check_primary(&self, group: &Group, election: &Election, leadership: GroupLeadership, image: &Image) {
        let no_voters = image.voters(group).next().is_none();
        if no_voters || self.primary_lost_entries(image, &election.server) {
            let reason = if no_voters {
                "no log of it counts yet".into()
            } else {
                format!("{} lost part of its log", election.server)
            };
            self.update_group(&group.name, |state| state.reason = reason);
            self.elect_primary(group, Some(election), false).await;
            return;
        }
        let proven = leadership.proven && leadership.epoch == election.epoch;
        self.update_group(&group.name, |state| {
            state.epoch = election.epoch;
            state.proven = proven;
        });
        if !proven {
            if self.is_primary_proven(group, election) {
                self.log(
                    Component::Election,
                    format!("{} is primary of {} in epoch {}", election.server, group.name, election.epoch),
                );
                let now = self.env.now();
                self.update_group(&group.name, |state| {
                    state.proven = true;
                    state.granting = true;
                    state.ignore_reported_leases = false;
                    state.proven_since = now;
                });
                self.relay.request_heartbeats();
                self.state_changed.notify_waiters();
                return;
            }
            self.update_group(&group.name, |state| state.granting = false);
            self.urgent_until.set(self.env.now() + self.bounds.server_gone_after());
            let log_id = image.log(&election.server).map_or(0, |log| log.log_id);
            self.request_promotion(&group.name, election, log_id).await;
            let wait = self.state_changed.wait_until(|| self.is_primary_proven(group, election).then_some(()));
            let timeout = self.bounds.server_gone_after();
            if self.env.timeout(timeout, wait).await.is_err()
                && self.silent_for(&election.server, self.env.now()) > timeout
            {
                self.update_group(&group.name, |state| {
                    state.reason = format!("{} did not take the lead", election.server)
                });
                self.elect_primary(group, Some(election), false).await;
            }
            return;
        }
        let record = |server: &str| self.servers.borrow().get(server).cloned();
        let primary = record(&election.server);
        let now = self.env.now();
        // A node that reconnects late to a primary that returned still reports the old silence. Counting no longer than
        // the primary has been proven gives such nodes time to update.
        let proven_for = now.saturating_sub(leadership.proven_since);
        let silent = self.silent_for(&election.server, now).min(proven_for);
        if silent > self.bounds.server_gone_after() {
            self.update_group(&group.name, |state| state.reason = format!("{} is gone", election.server));
            self.elect_primary(group, Some(election), false).await;
            return;
        }
        let must_hand_over =
            primary.is_some_and(|record| record.draining || image.evacuated_zones.contains(&record.zone));
        let must_hand_over = must_hand_over
            || group.leaving_servers.contains(&election.server)
            || leadership.handover_deadline.is_some_and(|deadline| now < deadline);
        let requested = leadership
            .requested_primary
            .clone()
            .filter(|server| *server != election.server && group.servers.contains(server));
        if !must_hand_over && requested.is_none() {
            // No new leases on a primary that half of the observers can't reach, so that the granted ones expire while
            // it is watched.
            let granting = silent < self.bounds.server_gone_after() / 2;
            if leadership.granting != granting {
                self.urgent_until.set(self.env.now() + self.bounds.server_gone_after());
                self.log(
                    Component::Election,
                    format!("{} {}", election.server, if granting { "is answering again" } else { "is not answering" }),
                );
            }
            self.update_group(&group.name, |state| {
                state.granting = granting;
                state.requested_primary = None;
            });
            self.check_reachability(group, election, &leadership, image, now);
            return;
        }
        let can_take_over = |candidate: &Candidate| {
            candidate.eligible
                && candidate.name != election.server
                && (must_hand_over || requested.as_ref().is_none_or(|server| *server == candidate.name))
        };
        if self.candidates(group, image, Duration::ZERO).iter().any(can_take_over) {
            self.update_group(&group.name, |state| {
                state.reason = format!("{} is to be relieved", election.server);
            });
            self.elect_primary(group, Some(election), true).await;
        }
    }

    /// Requests a hand-over when some nodes can't reach the primary and more nodes can reach another eligible server:
    /// two zones that lost the connection to each other can both still reach the third.
    fn check_reachability(
        &self,
        group: &Group,
        election: &Election,
        leadership: &GroupLeadership,
        image: &Image,
        now: Duration,
    ) {
        let nodes_without_path = |server: &str| {
            let recent = now.saturating_sub(self.bounds.node_heartbeat() * 4);
            let nodes = self.nodes.borrow();
            let reporting = nodes.values().filter(|node| !node.is_control_node && node.last_heartbeat > recent);
            reporting.filter(|node| node.cannot_reach(server, now, self.bounds.server_gone_after() / 2)).count()
        };
        let primary_count = nodes_without_path(&election.server);
        let candidates = if primary_count == 0 {
            Vec::new()
        } else {
            self.candidates(group, image, now.saturating_sub(self.bounds.server_gone_after()))
        };
        let successor = candidates
            .iter()
            .filter(|candidate| candidate.eligible && candidate.name != election.server)
            .map(|candidate| (nodes_without_path(&candidate.name), candidate))
            .min_by_key(|successor| successor.0);
        let Some((_, successor)) = successor.filter(|successor| successor.0 < primary_count) else {
            return self.update_group(&group.name, |state| state.less_reachable_since = None);
        };
        let less_reachable = LessReachable {
            group: &group.name,
            primary: &election.server,
            missing_nodes: primary_count,
            successor: &successor.name,
        };
        self.request_reachable_primary(less_reachable, leadership, self.bounds.server_gone_after() / 2);
    }

    /// Takes over leases that a node reports and that an earlier leader granted, if their epoch is still the newest:
    /// that leader had observed the primary as proven.
    pub(super) fn adopt_reported_leases(&self, heartbeat: &wire::NodeHeartbeat, image: &Image) {
        let now = self.env.now();
        for lease in &heartbeat.primary_leases {
            if image.groups.iter().any(|group| group.name == lease.group && group.confirms) {
                self.adopt_reported_lease(lease);
                continue;
            }
            if image
                .election(&lease.group)
                .is_none_or(|election| election.epoch != lease.epoch || election.server != lease.server)
            {
                continue;
            }
            let mut group_leadership = self.group_leadership.borrow_mut();
            let Some(leadership) = group_leadership.get_mut(&lease.group) else { continue };
            if !leadership.proven && !leadership.ignore_reported_leases {
                *leadership = GroupLeadership {
                    epoch: lease.epoch,
                    granting: true,
                    proven: true,
                    proven_since: now,
                    ..leadership.clone()
                };
            }
        }
    }

    /// Whether the elected server is primary in its epoch and a second server holds the first entry of that epoch.
    fn is_primary_proven(&self, group: &Group, election: &Election) -> bool {
        let samples = self.log_samples.borrow();
        let is_primary = samples
            .get(&election.server)
            .is_some_and(|sample| sample.is_primary && sample.position.epoch == election.epoch);
        let Some(image) = self.consensus.image() else { return false };
        let only_server = image.voters(group).count() <= 1 && group.servers.len() == 1;
        let follows = |server: &String| {
            samples.get(server).is_some_and(|sample| sample.position.epoch == election.epoch)
                && self.counts_towards_quorum(&image, server)
        };
        is_primary
            && self.counts_towards_quorum(&image, &election.server)
            && (only_server || group.servers_and_leaving().any(|server| *server != election.server && follows(server)))
    }

    /// For how long at least half of the observers of a server, this control node and all nodes with a recent
    /// heartbeat, have had no response from it. A refused connection counts as longer than `server_gone_after`, because
    /// waiting longer at an address without a listener gives no further information.
    fn silent_for(&self, server: &str, now: Duration) -> Duration {
        let recent = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let (_, since) = self.consensus.term();
        let max_age = now.saturating_sub(since);
        let own_age =
            self.log_samples.borrow().get(server).map_or(max_age, |sample| self.watched_since(sample.received_at));
        let refused_age = self.bounds.server_gone_after() + self.bounds.control_heartbeat();
        let own_age = if self.refusing_servers.borrow().contains(server) { refused_age } else { own_age.min(max_age) };
        let mut ages = vec![own_age];
        for node in self.nodes.borrow().values().filter(|node| !node.is_control_node && node.last_heartbeat > recent) {
            if let Some(observation) = node.observations.get(server) {
                let age =
                    (Duration::from_millis(observation.age_ms) + self.watched_since(node.last_heartbeat)).min(max_age);
                ages.push(if observation.refused { refused_age } else { age });
            }
        }
        ages.sort();
        ages[(ages.len() - 1) / 2]
    }

    /// The servers of a group that were read at `since` or later and whose logs count towards the quorum; in the first
    /// election any log counts.
    fn candidates(&self, group: &Group, image: &Image, since: Duration) -> Vec<Candidate> {
        let samples = self.log_samples.borrow();
        let servers = self.servers.borrow();
        let candidate = |server: &String| {
            let sample = samples.get(server)?;
            let record = servers.get(server)?;
            let first_election = image.voters(group).next().is_none();
            (sample.requested_at >= since && (first_election || self.counts_towards_quorum(image, server))).then(|| {
                Candidate {
                    name: server.clone(),
                    position: sample.position,
                    log_id: sample.log_id,
                    eligible: !record.draining
                        && !record.gone
                        && !image.evacuated_zones.contains(&record.zone)
                        && !group.leaving_servers.contains(server),
                    cold_step: (record.cold * 20.0) as u32,
                }
            })
        };
        group.servers_and_leaving().filter_map(candidate).collect()
    }

    /// Elects a primary once no earlier lease can be in force, from as many logs as the quorum requires. With
    /// `planned`, the current primary keeps its role until another server has caught up with it.
    async fn elect_primary(&self, group: &Group, previous: Option<&Election>, planned: bool) {
        let start = self.env.now();
        if previous.is_some() {
            self.update_group(&group.name, |state| {
                state.granting = false;
                state.proven = false;
                state.ignore_reported_leases = true;
            });
            let reason =
                self.group_leadership.borrow().get(&group.name).map(|state| state.reason.clone()).unwrap_or_default();
            self.log(Component::Election, format!("new primary needed for {}: {reason}", group.name));
            self.relay.request_heartbeats();
            self.state_changed.notify_waiters();
            while !self.leases.borrow().primary_free(&group.name, self.env.now()) && !self.disabled.skip_lease_wait {
                self.env.sleep(self.bounds.control_heartbeat() / 4).await;
                if !self.consensus.leads_with_lease() {
                    return;
                }
            }
        }
        let since = self.env.now();
        self.urgent_until.set(since + self.bounds.server_gone_after());
        self.state_changed.notify_waiters();
        let limit = self.bounds.evacuation_grace();
        let chosen = loop {
            let _ = self
                .env
                .timeout(
                    self.bounds.control_heartbeat() / 4,
                    self.state_changed.changed_since(self.state_changed.generation()),
                )
                .await;
            if !self.consensus.leads_with_lease() {
                return;
            }
            let Some(image) = self.consensus.image() else { return };
            let Some(group) = &image.groups.iter().find(|current| current.name == group.name).cloned() else {
                return;
            };
            let required = if self.disabled.elect_from_one_log { 1 } else { self.required_logs(&image, group) };
            let candidates = self.candidates(group, &image, since);
            if candidates.len() < required {
                let reason = format!(
                    "{} of {required} logs that count can be read: {}",
                    candidates.len(),
                    self.describe_missing(&image, group, since)
                );
                self.update_group(&group.name, |state| state.reason = reason);
                if planned && self.env.now() - start > limit {
                    return;
                }
                continue;
            }
            // Give the remaining servers a moment to answer, so that the best of several with equal positions is
            // chosen; but don't wait for a server that is silent.
            let is_silent =
                |server: &String| self.silent_for(server, self.env.now()) > self.bounds.server_gone_after() / 2;
            let absent = group
                .servers_and_leaving()
                .filter(|server| !candidates.iter().any(|candidate| candidate.name == **server))
                .any(|server| !is_silent(server));
            if absent && self.env.now() - since < self.bounds.sampling_interval() * 2 {
                continue;
            }
            let furthest = candidates.iter().map(|candidate| candidate.position).max().unwrap_or_default();
            let is_current =
                |candidate: &Candidate| planned && previous.is_some_and(|previous| previous.server == candidate.name);
            let requested =
                self.group_leadership.borrow().get(&group.name).and_then(|state| state.requested_primary.clone());
            let best = candidates.iter().filter(|candidate| candidate.position == furthest).min_by_key(|candidate| {
                (
                    is_current(candidate),
                    !candidate.eligible,
                    requested.as_ref() != Some(&candidate.name),
                    candidate.cold_step,
                    previous.is_none_or(|previous| previous.server != candidate.name),
                    candidate.name.clone(),
                )
            });
            let Some(best) = best else { continue };
            let past_half = self.env.now() - since > limit / 2;
            let not_requested = requested.as_ref().is_some_and(|server| *server != best.name);
            if planned && (!best.eligible || is_current(best) || not_requested) {
                if past_half {
                    // The requested server can't take over now; the current primary stays.
                    self.update_group(&group.name, |state| state.requested_primary = None);
                    return;
                }
                continue;
            }
            let epoch = candidates.iter().map(|candidate| candidate.position.epoch).max().unwrap_or(0);
            let new_election = Election {
                group: group.name.clone(),
                epoch: epoch.max(previous.map_or(0, |previous| previous.epoch)) + 1,
                server: best.name.clone(),
                start_epoch: best.position.epoch,
                start_index: best.position.index,
            };
            break (new_election, best.log_id, self.initial_logs(&image, group, since));
        };
        let (new_election, log_id, initial_logs) = chosen;
        let (server, epoch) = (&new_election.server, new_election.epoch);
        self.log(Component::Election, format!("electing {server} as primary of {} for epoch {epoch}", group.name));
        let previous_epoch = previous.map_or(0, |previous| previous.epoch);
        let proposed = new_election.clone();
        let result = self
            .consensus
            .propose(move |image| {
                if image.election(&proposed.group).map_or(0, |election| election.epoch) != previous_epoch {
                    return Err(ErrorKind::VersionConflict);
                }
                let mut image = image.clone();
                image.elections.retain(|election| election.group != proposed.group);
                image.elections.push(proposed);
                image.logs.retain(|log| !initial_logs.iter().any(|initial_log| initial_log.server == log.server));
                image.logs.extend(initial_logs);
                Ok(image)
            })
            .await;
        if result.is_ok() {
            self.publish();
            self.request_promotion(&group.name, &new_election, log_id).await;
        }
    }

    /// Asks the platform to promote the elected server. Safe to repeat.
    async fn request_promotion(&self, group: &str, election: &Election, log_id: u64) {
        let Some(address) = self.platform_address.get() else {
            self.log(Component::Election, "no platform address is set; no server can be promoted");
            return;
        };
        let body = backend::promotion_body(group, &election.server, election.epoch, log_id, election.start_position());
        let timeout = self.bounds.call_timeout();
        match Client::connect_and_call(&self.env, address, "POST", backend::PROMOTION_PATH, &[], body, timeout).await {
            Ok(response) if response.status < 300 => {}
            Ok(response) => self.log(
                Component::Election,
                format!("the platform answered {} to the promotion of {}", response.status, election.server),
            ),
            Err(error) => {
                self.log(Component::Election, format!("the call to promote {} failed: {error}", election.server))
            }
        }
    }
}
