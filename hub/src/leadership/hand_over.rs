//! Planned hand-over of a primary that answers, in groups whose servers confirm commits themselves.
//!
//! docs/group-leadership.md lists the states of a hand-over and how each ends.

use base::{http::Client, protocol::StatementKind, runtime::Component};
use wire::{Group, Image};

use super::{GroupLeadership, Leadership, confirming::ConfirmingServer, promotion::STATUS_OK};

impl Leadership {
    /// Hands over from a primary that leads, once the platform can be reached: a primary that has stepped down while the
    /// platform is down leaves its group without one. The platform is not asked to promote the present primary to find
    /// out: it may carry that out after the primary has stepped down.
    pub(super) async fn hand_over(&self, group: &Group, image: &Image, leadership: &GroupLeadership) {
        let primary = &leadership.server;
        let connection = self.connect_to_platform(group).await;
        if let Err(error) = &connection
            && !self.disabled.step_down_unconnected
        {
            let text = format!("the platform can't be reached ({error}); {primary} stays primary of {}", group.name);
            return self.log(Component::Election, text);
        }
        let Some(successor) = self.successor(group, image, leadership, false) else { return };
        self.log(Component::Election, format!("{primary} hands {} over to {successor}", group.name));
        self.transfer_primary(group, primary, &successor, connection.ok()).await;
    }

    /// Promotes a server in a group in which nobody leads, because its primary stepped down. Until this control node
    /// grants leases on another server no commit is acknowledged elsewhere, so the old primary holds all of them.
    pub(super) async fn promote_successor(&self, group: &Group, image: &Image, leadership: &GroupLeadership) {
        if self.disabled.leave_hand_over {
            return;
        }
        let primary = &leadership.server;
        let Some(successor) = self.successor(group, image, leadership, true) else { return };
        if !leadership.replicas_resumed && !self.may_promote_another(group, &successor) {
            return;
        }
        self.log(Component::Election, format!("nobody leads {}: {primary} stepped down", group.name));
        self.transfer_primary(group, primary, &successor, None).await;
    }

    /// The server to promote: the requested one if it may lead, otherwise the eligible one with the highest position, the
    /// primary itself among them if it `may_stay`. While it is unknown whether the last promotion will be carried out, it
    /// is that one's server again: two promotions under way could each make a server primary that lacks commits of the
    /// other.
    fn successor(&self, group: &Group, image: &Image, leadership: &GroupLeadership, may_stay: bool) -> Option<String> {
        let since = self.env.now().saturating_sub(self.bounds.server_missed_after());
        let statuses = self.statuses_since(group, image, since);
        let is_primary = |status: &ConfirmingServer| status.name == leadership.server;
        let is_unresolved = |status: &&ConfirmingServer| self.is_last_promoted(&group.name, &status.name) && may_stay;
        if leadership.promotion_outcome_unknown
            && let Some(unresolved) = statuses.iter().find(is_unresolved)
        {
            return Some(unresolved.name.clone());
        }
        let is_requested = |status: &ConfirmingServer| leadership.requested_primary.as_ref() == Some(&status.name);
        statuses
            .iter()
            .filter(|status| status.eligible && (may_stay || !is_primary(status)))
            .max_by_key(|status| {
                (is_requested(status), status.position, is_primary(status), std::cmp::Reverse(status.cold_step))
            })
            .map(|status| status.name.clone())
    }

    /// Forgets a requested hand-over to a server that can't lead, so that it does not happen when nobody expects it any
    /// more.
    pub(super) fn drop_request_that_cannot_be_met(&self, group: &Group, image: &Image, leadership: &GroupLeadership) {
        let Some(requested) = &leadership.requested_primary else { return };
        let since = self.env.now().saturating_sub(self.bounds.server_gone_after());
        let statuses = self.statuses_since(group, image, since);
        if *requested != leadership.server && statuses.iter().any(|status| status.eligible && status.name == *requested)
        {
            return;
        }
        if *requested != leadership.server {
            self.log(
                Component::Election,
                format!("{requested} can't take {} over; {} stays primary", group.name, leadership.server),
            );
        }
        self.update_group(&group.name, |state| state.requested_primary = None);
    }

    /// Has the old primary step down, so that it confirms no further commits, and promotes `next` once it holds
    /// everything that the old primary holds then; otherwise promotes the old primary again. This does not rely on the
    /// list of servers: one that has not registered yet may replicate already.
    async fn transfer_primary(&self, group: &Group, from: &str, next: &str, platform: Option<Client>) {
        self.update_group(&group.name, |state| state.requested_primary = None);
        let epoch = self.highest_epoch(group) + 1;
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
        self.update_group(&group.name, |state| state.last_promoted = name.into());
        let connection = match platform.filter(Client::is_open) {
            Some(open) => Ok(open),
            None => self.connect_to_platform(group).await,
        };
        if self.promote_over(connection, group, name).await == Some(STATUS_OK) {
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
}
