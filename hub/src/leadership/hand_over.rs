//! Planned hand-over of a primary that answers, in groups whose servers confirm commits themselves.
//!
//! docs/incidents/11-a-hand-over-that-ended-nowhere.md lists the states of a hand-over and how each ends.

use base::{protocol::StatementKind, runtime::Component};
use wire::{Group, Image};

use super::Leadership;

impl Leadership {
    /// Plans a hand-over from a primary that answers to the eligible server with the highest position, or to the
    /// requested one.
    pub(super) async fn hand_over(&self, group: &Group, image: &Image, from: &str, requested: Option<String>) {
        if !self.may_promote(&group.name) {
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
    pub(super) async fn transfer_primary(&self, group: &Group, from: &str, next: &str, epoch: u64) {
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
    pub(super) fn has_stepped_down(&self, server: &str) -> bool {
        let since = self.env.now().saturating_sub(self.bounds.server_missed_after());
        let server_statuses = self.server_statuses.borrow();
        let status = server_statuses.get(server).and_then(|status| status.last_status);
        status.is_some_and(|(requested_at, status)| requested_at >= since && !status.is_primary)
    }

    /// Ends a hand-over whose reason no longer holds after the old primary had stepped down: promotes the eligible
    /// server with the highest position, which is the old primary again unless it may not lead. Until this control node
    /// grants leases on another server, no commit is acknowledged elsewhere, so the old primary holds all of them.
    pub(super) async fn end_hand_over(&self, group: &Group, image: &Image, from: &str) {
        if !self.may_promote(&group.name) || self.disabled.leave_hand_over {
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
}
