//! Orders to servers that confirm commits: to suspend and resume replication, and to step down.

use std::time::Duration;

use base::{position::Position, protocol::StatementKind};

use super::Leadership;

impl Leadership {
    /// Queues a statement for a server, to be sent on this control node's connection to it.
    pub(super) fn queue_order(&self, server: &str, kind: StatementKind) {
        let mut server_statuses = self.server_statuses.borrow_mut();
        let status = server_statuses.entry(server.into()).or_default();
        status.pending_order = Some(kind);
        status.suspended_status = None;
        drop(server_statuses);
        self.state_changed.notify_waiters();
    }

    /// Drops the statement that is queued for a server.
    pub(super) fn cancel_order(&self, server: &str) {
        if let Some(status) = self.server_statuses.borrow_mut().get_mut(server) {
            status.pending_order = None;
        }
    }

    /// Suspends replication on these servers and waits until each has confirmed it. Returns the highest position among
    /// them, or nothing after the timeout.
    pub(super) async fn suspend_all(&self, names: &[String], epoch: u64, timeout: Duration) -> Option<Position> {
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
    pub(super) fn resume_all(&self, names: &[String]) {
        names.iter().for_each(|server| self.queue_order(server, StatementKind::ResumeReplication));
    }
}
