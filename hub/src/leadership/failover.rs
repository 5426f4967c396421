//! Failover in groups whose servers confirm commits themselves. docs/platform.md explains why no acknowledged commit is
//! lost.

use base::{protocol::StatementKind, runtime::Component};
use wire::Group;

use super::{Leadership, promotion::STATUS_OK};

impl Leadership {
    /// The highest epoch that is known of a group.
    pub(super) fn highest_epoch(&self, group: &Group) -> u64 {
        let server_statuses = self.server_statuses.borrow();
        let epochs = group.servers.iter().filter_map(|server| Some(server_statuses.get(server)?.last_status?.1.epoch));
        epochs.max().unwrap_or(0).max(self.leadership_of(&group.name).epoch)
    }

    /// Fails over after the primary `lost` was lost: suspends replication on all other servers, reads their positions
    /// and promotes the one with the highest. An empty `lost` means that no primary is known.
    pub(super) async fn fail_over(&self, group: &Group, lost: &str) {
        if !self.may_promote(&group.name) {
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
                return self.resume_after_abandoned_failover(group, &others);
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
                self.resume_after_abandoned_failover(group, &others);
            }
            return;
        }
        if !self.consensus.leads_with_lease() {
            return;
        }
        if self.unanswered_for(lost) < self.bounds.server_missed_after() && !lost.is_empty() {
            self.log(Component::Election, format!("{lost} answers again"));
            return self.resume_after_abandoned_failover(group, &others);
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
        if self.leadership_of(&group.name).promotion_outcome_unknown && !self.may_promote_another(group, &best) {
            return;
        }
        self.log(Component::Election, format!("promoting {best} in {}", group.name));
        self.update_group(&group.name, |state| state.last_promoted.clone_from(&best));
        if self.promote(group, &best).await != Some(STATUS_OK) {
            return;
        }
        self.await_primary(group, &best, epoch).await;
    }

    /// Has the replicas resume that a failover without a promotion suspended, once they may.
    fn resume_after_abandoned_failover(&self, group: &Group, replicas: &[String]) {
        if self.may_resume_replicas(&self.leadership_of(&group.name)) {
            self.resume_all(replicas);
        }
    }

    /// Records that an election waits until the list of a group's servers is complete.
    pub(super) fn wait_for_membership(&self, group: &str) {
        if !self.leadership_of(group).waits_for_membership {
            self.log(Component::Election, format!("{group}: a server may not be registered yet; no election"));
        }
        self.update_group(group, |state| state.waits_for_membership = true);
    }
}
