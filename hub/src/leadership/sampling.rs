//! Connections from the leading control node to the servers: it samples their log positions and sends orders to servers
//! that confirm commits.

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

/// A sample of a server's log, read on this control node's own connection.
#[derive(Clone, Copy, Debug)]
pub struct LogSample {
    /// When the sample was requested.
    pub requested_at: Duration,
    /// When it was received.
    pub received_at: Duration,
    /// The end of the log.
    pub position: Position,
    pub is_primary: bool,
    /// The random id of the log.
    pub log_id: u64,
}

/// The state of the connection to a server that confirms commits.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStatus {
    /// The last reported status, and when it was requested.
    pub last_status: Option<(Duration, ReplicationStatus)>,
    /// When the server last answered anything.
    pub last_response: Option<Duration>,
    /// Since when a request has been unanswered.
    pub unanswered_since: Option<Duration>,
    /// How often in a row the connection was refused at once.
    pub refusals: u32,
    /// The statement to send next.
    pub pending_order: Option<StatementKind>,
    /// The status that the server reported when it suspended replication or stepped down, until the next order.
    pub suspended_status: Option<ReplicationStatus>,
}

impl Leadership {
    /// Keeps one sampling task for each server in a group.
    pub(super) async fn sample_servers(self: Rc<Self>) {
        let mut tasks: BTreeMap<String, (String, TaskGuard)> = BTreeMap::new();
        loop {
            let addresses: BTreeMap<String, (String, Option<String>)> = {
                let image = self.consensus.image();
                let servers = self.servers.borrow();
                let target = |group: &wire::Group, server: &String| {
                    // A server that deregistered serves on for a while, and a primary still has to be told to step down.
                    let drop_deregistered = self.disabled.drop_deregistered;
                    let record = servers.get(server).filter(|record| !(record.deregistered && drop_deregistered))?;
                    Some((server.clone(), (record.addr.clone(), group.confirms.then(|| group.name.clone()))))
                };
                let targets = image.iter().flat_map(|image| {
                    image
                        .groups
                        .iter()
                        .flat_map(|group| group.servers_and_leaving().filter_map(|server| target(group, server)))
                });
                targets.collect()
            };
            tasks.retain(|server, (address, _)| addresses.get(server).is_some_and(|entry| entry.0 == *address));
            for (server, (address, group)) in addresses {
                let Ok(socket) = address.parse() else { continue };
                tasks.entry(server.clone()).or_insert_with(|| {
                    let leadership = self.clone();
                    let protocol = self.server_protocol.clone();
                    let task = self.env.spawn(async move {
                        match (group, protocol) {
                            (Some(group), Some(protocol)) => {
                                leadership.run_connection(server, socket, group, protocol).await
                            }
                            (Some(_), None) => {}
                            _ => leadership.sample_log(server, socket).await,
                        }
                    });
                    (address, task)
                });
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    /// Samples the log of one server of a group whose primary is elected here.
    async fn sample_log(&self, server: String, address: SocketAddr) {
        let timeout = self.bounds.call_timeout();
        let mut refusals = 0;
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
                        refusals = 0;
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
            refusals = if self.env.now() - start < timeout / 4 { refusals + 1 } else { 0 };
            if refusals > 1 {
                self.refusing_servers.borrow_mut().insert(server.clone());
            }
            self.env.sleep(self.bounds.sampling_interval() / 2).await;
        }
    }

    /// Changes the connection state of a server.
    fn update_status(&self, server: &str, update: impl FnOnce(&mut ServerStatus)) {
        update(self.server_statuses.borrow_mut().entry(server.into()).or_default());
    }

    /// Keeps a connection to one server that confirms commits, and counts failed attempts.
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
                // The server is alive but rejects sessions because it is full.
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

    /// Requests a server's status, or sends the queued order, until the connection fails.
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
            // No request is sent more often than urgent samples.
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
