//! Hand-over to a server that more nodes can reach: two zones that lost the connection to each other can both still reach
//! the third.

use std::time::Duration;

use base::runtime::Component;

use super::{GroupLeadership, Leadership};

/// A primary that fewer nodes can reach than another server of its group.
pub(super) struct LessReachable<'a> {
    pub(super) group: &'a str,
    pub(super) primary: &'a str,
    /// How many nodes can't reach the primary.
    pub(super) missing_nodes: usize,
    /// The server that more nodes can reach.
    pub(super) successor: &'a str,
}

impl Leadership {
    /// Requests a hand-over once a primary has been less reachable than its successor for `required_duration`, unless it
    /// has only just become primary.
    pub(super) fn request_reachable_primary(
        &self,
        less_reachable: LessReachable,
        leadership: &GroupLeadership,
        required_duration: Duration,
    ) {
        let LessReachable { group, primary, missing_nodes, successor } = less_reachable;
        let now = self.env.now();
        let since = leadership.less_reachable_since.unwrap_or(now);
        self.update_group(group, |state| state.less_reachable_since = Some(since));
        let is_settled = now - leadership.proven_since > self.bounds.server_gone_after() * 2;
        if now - since <= required_duration || !is_settled {
            return;
        }
        self.log(
            Component::Election,
            format!("{missing_nodes} nodes can't reach {primary}; more nodes can reach {successor}"),
        );
        self.update_group(group, |state| {
            state.less_reachable_since = None;
            state.requested_primary = Some(successor.into());
        });
    }
}
