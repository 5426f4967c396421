//! Promotions by the platform: fencing tokens, the call, and the wait for the promoted server.

use std::time::Duration;

use base::{
    http::{CallError, Client},
    protocol::{Promotion, StatementKind},
    runtime::Component,
};
use wire::Group;

use super::{Leadership, confirming::ConfirmingServer};

/// The largest response of the platform that is read, in bytes.
const MAX_PLATFORM_RESPONSE_BYTES: usize = 64 << 10;

/// How many low bits of a fencing token count the calls within a term; the bits above hold the term.
const PROMOTION_COUNT_BITS: u32 = 20;

/// How often the pause after a failed call to the platform doubles at most: from a third of a second to 1.3 s at the
/// users' bounds.
const MAX_CALL_BACKOFF_DOUBLINGS: u32 = 3;

/// The status with which the platform takes a call.
pub(super) const STATUS_OK: u16 = 200;
/// The lowest status of a failure at the platform itself, after which a call may have been carried out.
const FIRST_SERVER_ERROR: u16 = 500;
/// The status with which the platform refuses a call because it got too many.
const TOO_MANY_CALLS: u16 = 429;

/// How long a new leader waits before it promotes a server while the previous leader is still alive. The platform
/// expects at most one control node to promote servers in any interval of this length.
const PROMOTER_CHANGE_PAUSE: Duration = Duration::from_secs(3);

impl Leadership {
    /// Promotes the server that is primary already, once per term and again after a promotion whose outcome is unknown.
    /// The platform thereby learns a newer fencing token and refuses calls that are still in transit, of an earlier
    /// leader or of this one. One lease duration later, servers that may have been suspended for those resume
    /// replication.
    pub(super) async fn fence_unfinished_promotions(
        &self,
        group: &Group,
        primary: &ConfirmingServer,
        leadership: &super::GroupLeadership,
    ) {
        let now = self.env.now();
        let is_first_term = self.consensus.term().0 <= 1;
        match leadership.fenced_at {
            // There is no earlier leader before the first term.
            None if is_first_term && !leadership.promotion_outcome_unknown => {
                self.update_group(&group.name, |state| {
                    state.fenced_at = Some(now);
                    state.replicas_resumed = true;
                });
            }
            None if !self.may_promote(&group.name) => {}
            None if leadership.promotion_outcome_unknown
                && leadership.server != primary.name
                && !self.leases.borrow().primary_free(&group.name, now) => {}
            None => {
                self.update_group(&group.name, |state| state.last_promoted.clear());
                self.promote(group, &primary.name).await;
            }
            Some(fenced_at) if !leadership.replicas_resumed && now > fenced_at + self.bounds.lease_duration() => {
                group
                    .servers
                    .iter()
                    .filter(|server| **server != primary.name)
                    .for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
                self.update_group(&group.name, |state| {
                    state.replicas_resumed = true;
                    state.promotion_outcome_unknown = false;
                });
            }
            Some(_) => {}
        }
    }

    /// Whether suspended replicas may resume: no promotion of this or an earlier leader may still be carried out, which
    /// would make a server primary that lacks what only another replica receives from now on.
    pub(super) fn may_resume_replicas(&self, leadership: &super::GroupLeadership) -> bool {
        if self.disabled.forget_unknown_promotions {
            return !leadership.promotion_outcome_unknown;
        }
        leadership.replicas_resumed
    }

    /// Records that a promotion may still be carried out, so that the next observed primary is fenced against it.
    fn record_unknown_outcome(&self, group: &str) {
        if self.disabled.forget_unknown_promotions {
            return self.update_group(group, |state| state.promotion_outcome_unknown = true);
        }
        self.update_group(group, |state| {
            state.promotion_outcome_unknown = true;
            state.fenced_at = None;
            state.replicas_resumed = false;
        });
    }

    /// Whether an earlier leader that is still alive may have promoted a server a moment ago.
    pub(super) fn in_promoter_change_pause(&self) -> bool {
        let (_, since) = self.consensus.term();
        !self.disabled.no_promoter_change_pause
            && self.env.now() < since + PROMOTER_CHANGE_PAUSE
            && self.consensus.former_leader_follows()
    }

    /// Whether a server of this group may be promoted now: no earlier leader may have done so a moment ago, and the
    /// platform has had time since it did not take a call.
    pub(super) fn may_promote(&self, group: &str) -> bool {
        !self.in_promoter_change_pause() && self.env.now() >= self.leadership_of(group).next_promotion_at
    }

    /// Notes whether the platform took a call. After each failure in a row the next call waits twice as long.
    fn record_promotion_call(&self, group: &str, taken: bool) {
        let now = self.env.now();
        self.update_group(group, |state| {
            state.failed_promotion_calls = if taken { 0 } else { state.failed_promotion_calls + 1 };
            let doublings = state.failed_promotion_calls.min(MAX_CALL_BACKOFF_DOUBLINGS);
            let backoff = if taken { Duration::ZERO } else { self.bounds.control_heartbeat() * (1 << doublings) };
            state.next_promotion_at = now + backoff;
        });
    }

    /// A number that rises with the term and, within it, with each call for a group. A call whose response was lost may
    /// arrive after a later call; the platform then refuses it.
    pub(super) fn fencing_token(&self, group: &str) -> u64 {
        let mut call_counts = self.promotion_call_counts.borrow_mut();
        let count = call_counts.entry(group.into()).or_default();
        if !self.disabled.one_fencing_token {
            *count += 1;
        }
        self.term.get() << PROMOTION_COUNT_BITS | *count
    }

    /// Connects to the platform. A connection that fails counts as a failed call; it has no effect.
    pub(super) async fn connect_to_platform(&self, group: &Group) -> Result<Client, CallError> {
        let address = self.platform_address.get().ok_or(CallError::NotSent)?;
        let connection =
            Client::connect(&self.env, address, self.bounds.call_timeout(), MAX_PLATFORM_RESPONSE_BYTES).await;
        if connection.is_err() {
            self.record_promotion_call(&group.name, false);
        }
        connection
    }

    /// Whether the newest call to promote a server in this term was to make this one primary.
    pub(super) fn is_last_promoted(&self, group: &str, server: &str) -> bool {
        self.leadership_of(group).last_promoted == server
    }

    /// Whether a server may be promoted while a promotion of another one may still be carried out: only once no lease can
    /// be in force under which commits of that other one would be acknowledged.
    pub(super) fn may_promote_another(&self, group: &Group, server: &str) -> bool {
        self.is_last_promoted(&group.name, server)
            || self.leases.borrow().primary_free(&group.name, self.env.now())
            || self.disabled.forget_unknown_promotions
    }

    /// Asks the platform to promote a server. Returns the status of the response, or nothing if no response came.
    pub(super) async fn promote(&self, group: &Group, server: &str) -> Option<u16> {
        let connection = self.connect_to_platform(group).await;
        self.promote_over(connection, group, server).await
    }

    /// As [`Leadership::promote`], on a connection that was opened before.
    pub(super) async fn promote_over(
        &self,
        connection: Result<Client, CallError>,
        group: &Group,
        server: &str,
    ) -> Option<u16> {
        let protocol = self.server_protocol.clone()?;
        let promotion = Promotion {
            group: group.name.clone(),
            server: server.into(),
            holder: self.relay.identity.name.clone(),
            fencing_token: self.fencing_token(&group.name),
        };
        let result = match connection {
            Ok(mut platform) => {
                let result = protocol.promote(&mut platform, &promotion, self.bounds.call_timeout()).await;
                let taken = matches!(result, Ok(status) if status < FIRST_SERVER_ERROR && status != TOO_MANY_CALLS);
                self.record_promotion_call(&group.name, taken);
                result
            }
            Err(error) => Err(error),
        };
        match result {
            Ok(STATUS_OK) => {
                // The platform has seen this call's fencing token, and refuses all earlier calls from now on.
                let now = self.env.now();
                self.update_group(&group.name, |state| state.fenced_at = state.fenced_at.or(Some(now)));
                Some(STATUS_OK)
            }
            Ok(status) => {
                // Only a refusal guarantees that the promotion is not carried out.
                if status >= FIRST_SERVER_ERROR {
                    self.record_unknown_outcome(&group.name);
                }
                self.log(Component::Election, format!("the platform answered {status} to the promotion of {server}"));
                Some(status)
            }
            Err(error) => {
                if error == CallError::OutcomeUnknown {
                    self.record_unknown_outcome(&group.name);
                }
                self.log(Component::Election, format!("the call to promote {server} failed: {error}"));
                None
            }
        }
    }

    /// Waits until the promoted server reports that it is primary in `epoch` or a later one; false after the timeout.
    pub(super) async fn await_primary(&self, group: &Group, server: &str, epoch: u64) -> bool {
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
}
