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
pub struct LogReading {
    /// When the reading was asked for.
    pub asked: Duration,
    /// When it came.
    pub at: Duration,
    pub place: Position,
    pub leads: bool,
    /// The identity of the log.
    pub log: u64,
}

/// What passes between this hub and a server that confirms.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStatus {
    /// What it showed, and when it was asked.
    pub row: Option<(Duration, ReplicationStatus)>,
    /// When it last answered anything.
    pub alive: Option<Duration>,
    /// Since when a question to it stands unanswered.
    pub open: Option<Duration>,
    /// How often in a row nobody listened at its address.
    pub refused: u32,
    /// What it is to be told next.
    pub order: Option<StatementKind>,
    /// What it showed as it was kept from receiving.
    pub held: Option<ReplicationStatus>,
}

impl Leadership {
    /// Keeps one reading task for each server of the image.
    pub(super) async fn probes(self: Rc<Self>) {
        let mut jobs: BTreeMap<String, (String, TaskGuard)> = BTreeMap::new();
        loop {
            let addrs: BTreeMap<String, (String, Option<String>)> = {
                let image = self.consensus.image();
                let servers = self.servers.borrow();
                let row = |g: &wire::Group, s: &String| {
                    let t = servers.get(s).filter(|t| !t.left)?;
                    Some((s.clone(), (t.addr.clone(), g.confirms.then(|| g.name.clone()))))
                };
                let all = image
                    .iter()
                    .flat_map(|i| i.groups.iter().flat_map(|g| g.servers_and_leaving().filter_map(|s| row(g, s))));
                all.collect()
            };
            jobs.retain(|s, (a, _)| addrs.get(s).is_some_and(|x| x.0 == *a));
            for (server, (addr, group)) in addrs {
                let Ok(sock) = addr.parse() else { continue };
                jobs.entry(server.clone()).or_insert_with(|| {
                    let me = self.clone();
                    let manner = self.manner.clone();
                    let job = self.env.spawn(async move {
                        match (group, manner) {
                            (Some(group), Some(manner)) => me.talk(server, sock, group, manner).await,
                            (Some(_), None) => {}
                            _ => me.probe(server, sock).await,
                        }
                    });
                    (addr, job)
                });
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    async fn probe(&self, server: String, addr: SocketAddr) {
        let span = self.bounds.call_timeout();
        let mut refused = 0;
        loop {
            let start = self.env.now();
            if let Ok(mut line) = Client::connect(&self.env, addr, span, 1 << 16).await {
                while line.is_open() {
                    let asked = self.env.now();
                    let Ok(out) = line.call("GET", backend::POSITION_PATH, &[], Bytes::new(), span).await else {
                        break;
                    };
                    let signs = backend::response_metadata(&out);
                    if let ResponseMetadata { position: Some(place), is_primary: leads, log_id: log, .. } = signs {
                        let seen = LogReading { asked, at: self.env.now(), place, leads, log };
                        refused = 0;
                        self.refused.borrow_mut().remove(&server);
                        self.seen_now(&server, seen);
                        self.bell.notify_waiters();
                    }
                    let rest = self.bounds.sampling_interval();
                    let soon = self.bell.wait_until(|| (self.env.now() < self.urgent.get()).then_some(()));
                    if self.env.timeout(rest, soon).await.is_ok() {
                        self.env.sleep(rest / 10).await;
                    }
                }
            }
            refused = if self.env.now() - start < span / 4 { refused + 1 } else { 0 };
            if refused > 1 {
                self.refused.borrow_mut().insert(server.clone());
            }
            self.env.sleep(self.bounds.sampling_interval() / 2).await;
        }
    }

    fn with_talk(&self, server: &str, with: impl FnOnce(&mut ServerStatus)) {
        with(self.talks.borrow_mut().entry(server.into()).or_default());
    }

    /// Reads one server that confirms, and tells it what it is ordered.
    async fn talk(&self, server: String, addr: SocketAddr, group: String, manner: Rc<dyn ServerProtocol>) {
        let span = self.bounds.call_timeout();
        loop {
            let start = self.env.now();
            self.with_talk(&server, |t| t.open = t.open.or(Some(start)));
            let line = self.env.timeout(span, manner.open(&self.env, addr, &group, &server)).await;
            if let Ok(Ok(mut line)) = line {
                self.stay(&server, &mut *line).await;
            } else if let Ok(Err(CallError::OutcomeUnknown)) = line {
                // It turns sessions away, being full: it lives.
                let now = self.env.now();
                self.with_talk(&server, |t| *t = ServerStatus { open: None, refused: 0, alive: Some(now), ..*t });
            } else {
                let soon = self.env.now() - start < span / 4;
                self.with_talk(&server, |t| t.refused = if soon { t.refused + 1 } else { 0 });
            }
            self.env.sleep(self.bounds.sampling_interval() / 5).await;
        }
    }

    async fn stay(&self, server: &str, line: &mut dyn ServerConnection) {
        let span = self.bounds.call_timeout();
        while line.is_open() {
            let asked = self.env.now();
            let order = self.talks.borrow().get(server).and_then(|t| t.order);
            self.with_talk(server, |t| t.open = t.open.or(Some(asked)));
            let said = Statement::internal(order.unwrap_or(StatementKind::Status));
            let Ok(Ok(reply)) = self.env.timeout(span, line.execute(&said, None)).await else { return };
            let now = self.env.now();
            self.with_talk(server, |t| {
                t.open = None;
                t.refused = 0;
                t.alive = Some(now);
                let Some(row) = reply.status else { return };
                t.row = Some((asked, row));
                if order.is_some() && t.order == order {
                    t.order = None;
                    t.held = matches!(
                        order,
                        Some(StatementKind::SuspendReplication { .. } | StatementKind::StepDown { .. })
                    )
                    .then_some(row);
                }
            });
            self.bell.notify_waiters();
            let busy = reply.status.is_none();
            // Nothing is asked more often than urgent readings are.
            self.env.sleep(self.bounds.sampling_interval() / 10).await;
            let soon = self.bell.wait_until(|| {
                let order = self.talks.borrow().get(server).is_some_and(|t| t.order.is_some());
                (order || self.env.now() < self.urgent.get()).then_some(())
            });
            if !busy {
                let _ = self.env.timeout(self.bounds.sampling_interval() * 2, soon).await;
            }
        }
    }
}
