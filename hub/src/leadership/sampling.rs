use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{
    edge::backend::{self, ResponseMetadata},
    http::{CallError, Client},
    position::Position,
    protocol::{ReplicationStatus, ServerConnection, ServerProtocol, Statement, StatementKind},
    runtime::TaskGuard,
};
use bytes::Bytes;

use super::Leadership;

/// What the hub read of a server on its own connection.
#[derive(Clone, Copy, Debug)]
pub struct LogSample {
    /// When the reading was asked for.
    pub requested_at: Duration,
    /// When it came.
    pub received_at: Duration,
    pub position: Position,
    pub is_primary: bool,
    /// The identity of the log.
    pub log_id: u64,
}

/// What passes between this hub and a server that confirms.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStatus {
    /// What it showed, and when it was asked.
    pub last_status: Option<(Duration, ReplicationStatus)>,
    /// When it last answered anything.
    pub last_response: Option<Duration>,
    /// Since when a question to it stands unanswered.
    pub unanswered_since: Option<Duration>,
    /// How often in a row nobody listened at its address.
    pub refusals: u32,
    /// What it is to be told next.
    pub pending_order: Option<StatementKind>,
    /// What it showed as it was kept from receiving.
    pub suspended_status: Option<ReplicationStatus>,
}

impl Leadership {
    /// Keeps one reading task for each server of the image.
    pub(super) async fn sample_servers(self: Rc<Self>) {
        let mut tasks: BTreeMap<String, (String, TaskGuard)> = BTreeMap::new();
        loop {
            let addresses: BTreeMap<String, (String, Option<String>)> = {
                let image = self.consensus.image();
                let servers = self.servers.borrow();
                let row = |group: &wire::Group, server: &String| {
                    let record = servers.get(server).filter(|record| !record.deregistered)?;
                    Some((server.clone(), (record.addr.clone(), group.confirms.then(|| group.name.clone()))))
                };
                let rows = image.iter().flat_map(|image| {
                    image
                        .groups
                        .iter()
                        .flat_map(|group| group.servers_and_leaving().filter_map(|server| row(group, server)))
                });
                rows.collect()
            };
            tasks.retain(|server, (address, _)| addresses.get(server).is_some_and(|entry| entry.0 == *address));
            for (server, (address, group)) in addresses {
                let Ok(socket) = address.parse() else { continue };
                tasks.entry(server.clone()).or_insert_with(|| {
                    let me = self.clone();
                    let protocol = self.server_protocol.clone();
                    let task = self.env.spawn(async move {
                        match (group, protocol) {
                            (Some(group), Some(protocol)) => me.run_connection(server, socket, group, protocol).await,
                            (Some(_), None) => {}
                            _ => me.sample_log(server, socket).await,
                        }
                    });
                    (address, task)
                });
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    async fn sample_log(&self, server: String, address: SocketAddr) {
        let timeout = self.bounds.call_timeout();
        let mut refused = 0;
        loop {
            let start = self.env.now();
            if let Ok(mut connection) = Client::connect(&self.env, address, timeout, 1 << 16).await {
                while connection.is_open() {
                    let requested_at = self.env.now();
                    let Ok(response) = connection.call("GET", backend::POSITION_PATH, &[], Bytes::new(), timeout).await
                    else {
                        break;
                    };
                    let metadata = backend::response_metadata(&response);
                    if let ResponseMetadata { position: Some(position), is_primary, log_id, .. } = metadata {
                        let sample =
                            LogSample { requested_at, received_at: self.env.now(), position, is_primary, log_id };
                        refused = 0;
                        self.refusing_servers.borrow_mut().remove(&server);
                        self.record_sample(&server, sample);
                        self.state_changed.notify_waiters();
                    }
                    let interval = self.bounds.sampling_interval();
                    let urgent =
                        self.state_changed.wait_until(|| (self.env.now() < self.urgent_until.get()).then_some(()));
                    if self.env.timeout(interval, urgent).await.is_ok() {
                        self.env.sleep(interval / 10).await;
                    }
                }
            }
            refused = if self.env.now() - start < timeout / 4 { refused + 1 } else { 0 };
            if refused > 1 {
                self.refusing_servers.borrow_mut().insert(server.clone());
            }
            self.env.sleep(self.bounds.sampling_interval() / 2).await;
        }
    }

    fn update_status(&self, server: &str, update: impl FnOnce(&mut ServerStatus)) {
        update(self.server_statuses.borrow_mut().entry(server.into()).or_default());
    }

    /// Reads one server that confirms, and tells it what it is ordered.
    async fn run_connection(
        &self,
        server: String,
        address: SocketAddr,
        group: String,
        protocol: Rc<dyn ServerProtocol>,
    ) {
        let timeout = self.bounds.call_timeout();
        loop {
            let start = self.env.now();
            self.update_status(&server, |status| status.unanswered_since = status.unanswered_since.or(Some(start)));
            let connection = self.env.timeout(timeout, protocol.open(&self.env, address, &group, &server)).await;
            if let Ok(Ok(mut connection)) = connection {
                self.poll_connection(&server, &mut *connection).await;
            } else if let Ok(Err(CallError::OutcomeUnknown)) = connection {
                // It turns sessions away, being full: it lives.
                let now = self.env.now();
                self.update_status(&server, |status| {
                    *status = ServerStatus { unanswered_since: None, refusals: 0, last_response: Some(now), ..*status }
                });
            } else {
                let refused_at_once = self.env.now() - start < timeout / 4;
                self.update_status(&server, |status| {
                    status.refusals = if refused_at_once { status.refusals + 1 } else { 0 }
                });
            }
            self.env.sleep(self.bounds.sampling_interval() / 5).await;
        }
    }

    async fn poll_connection(&self, server: &str, connection: &mut dyn ServerConnection) {
        let timeout = self.bounds.call_timeout();
        while connection.is_open() {
            let requested_at = self.env.now();
            let order = self.server_statuses.borrow().get(server).and_then(|status| status.pending_order);
            self.update_status(server, |status| {
                status.unanswered_since = status.unanswered_since.or(Some(requested_at))
            });
            let statement = Statement::internal(order.unwrap_or(StatementKind::Status));
            let Ok(Ok(reply)) = self.env.timeout(timeout, connection.execute(&statement, None)).await else { return };
            let now = self.env.now();
            self.update_status(server, |status| {
                status.unanswered_since = None;
                status.refusals = 0;
                status.last_response = Some(now);
                let Some(reported) = reply.status else { return };
                status.last_status = Some((requested_at, reported));
                if order.is_some() && status.pending_order == order {
                    status.pending_order = None;
                    status.suspended_status = matches!(
                        order,
                        Some(StatementKind::SuspendReplication { .. } | StatementKind::StepDown { .. })
                    )
                    .then_some(reported);
                }
            });
            self.state_changed.notify_waiters();
            let busy = reply.status.is_none();
            // Nothing is asked more often than urgent readings are.
            self.env.sleep(self.bounds.sampling_interval() / 10).await;
            let urgent_or_order = self.state_changed.wait_until(|| {
                let order =
                    self.server_statuses.borrow().get(server).is_some_and(|status| status.pending_order.is_some());
                (order || self.env.now() < self.urgent_until.get()).then_some(())
            });
            if !busy {
                let _ = self.env.timeout(self.bounds.sampling_interval() * 2, urgent_or_order).await;
            }
        }
    }
}
