//! The search for a parent in the dissemination tree, and the link to the parent.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use futures::{FutureExt, StreamExt, pin_mut, select_biased, stream::FuturesUnordered};

use super::{Parent, Relay};
use crate::{Body, Hello, LinkError, LinkReader, LinkWriter, ParentStatus, link};

/// How many nodes are tried as a parent besides the control nodes.
const MAX_NODE_CANDIDATES: usize = 4;

/// A process that can become the parent, with an open link to it.
struct Candidate {
    hello: Hello,
    status: ParentStatus,
    reader: LinkReader,
    writer: LinkWriter,
}

impl Relay {
    /// Keeps this process connected to a parent: searches for another one when the parent is lost, or when the leader's
    /// acknowledgements no longer arrive through it.
    pub(super) async fn maintain_parent(self: Rc<Self>) -> Result<(), Infallible> {
        let mut next = None;
        loop {
            if self.handler().is_leader() {
                next = None;
                self.parent.borrow_mut().take();
                self.env.sleep(self.bounds().control_heartbeat()).await;
                continue;
            }
            let candidate = match next.take() {
                Some(candidate) => Some(candidate),
                None => self.find_parent().await,
            };
            match candidate {
                Some(candidate) => {
                    self.search_counters.end_found();
                    next = self.follow_parent(candidate).await;
                }
                None => {
                    self.search_counters.end_failed().iter().for_each(|line| self.log(line));
                    self.env.sleep(self.bounds().control_heartbeat() / 2).await;
                }
            }
            // A nearer parent replaces the current one directly. Otherwise the parent is cleared, and the heartbeat
            // task is notified, which broadcasts the changed status at once.
            if next.is_none() && self.parent.borrow_mut().take().is_some() {
                self.urgent_heartbeat.notify_waiters();
            }
        }
    }

    /// The addresses at which a parent is searched for: the control nodes from the settings and from the handler, and a
    /// few nodes, those of the same zone first. Nodes are included because the leader may be none of the control nodes
    /// in the settings.
    fn candidate_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.identity.seeds.clone();
        addresses.extend(self.handler().control_nodes());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.identity.peer);
        if let Some(snapshot) = self.latest_snapshot() {
            let mut nodes: Vec<_> = snapshot
                .nodes
                .iter()
                .filter(|n| n.name != self.identity.name)
                .filter_map(|n| Some((n.zone != self.identity.zone, self.env.rand(), n.peer.parse().ok()?)))
                .filter(|(_, _, address)| !addresses.contains(address))
                .collect();
            nodes.sort();
            addresses.extend(nodes.into_iter().take(MAX_NODE_CANDIDATES).map(|node| node.2));
        }
        addresses
    }

    /// Waits for a candidate that reaches the leader, and returns the best of those that answer shortly after the
    /// first.
    async fn find_parent(&self) -> Option<Candidate> {
        let addresses = self.candidate_addresses();
        self.search_counters.begin(addresses.len());
        let mut probes: FuturesUnordered<_> = addresses.into_iter().map(|address| self.probe(address)).collect();
        let mut candidates: Vec<Candidate> = Vec::new();
        let deadline = self.env.sleep(self.bounds().call_timeout() * 2).fuse();
        pin_mut!(deadline);
        let mut collected = Box::pin(futures::future::Fuse::terminated());
        loop {
            select_biased! {
                next = probes.next() => match next {
                    None => break,
                    Some(None) => {}
                    Some(Some(candidate)) => {
                        let is_best = candidate.hello.zone == self.identity.zone
                            && candidate.hello.is_control_node
                            && !candidate.status.full;
                        if candidates.is_empty() {
                            collected = Box::pin(self.env.sleep(self.bounds().control_heartbeat() / 4).fuse());
                        }
                        candidates.push(candidate);
                        if is_best {
                            break;
                        }
                    }
                },
                _ = collected => break,
                _ = deadline => break,
            }
        }
        // A control node may choose a full parent, such as the leader, so that the nodes of its zone stay near the
        // root.
        // It chooses a node only if no control node answers: below a node with a slow link, all that it serves waits.
        let rank = |candidate: &Candidate| {
            (
                self.identity.is_control_node && !candidate.hello.is_control_node,
                candidate.status.full && !self.identity.is_control_node,
                candidate.hello.zone != self.identity.zone,
                candidate.status.depth,
                self.env.rand(),
            )
        };
        candidates.into_iter().min_by_key(rank)
    }

    /// Opens a link and waits on it until the other process reaches the leader by a path without this process. `None`
    /// if the link fails.
    async fn probe(&self, address: SocketAddr) -> Option<Candidate> {
        let timeout = self.bounds().call_timeout();
        let stream = self.env.connect(address, timeout).await.ok()?;
        let (mut reader, writer) = link::open(&self.env, stream);
        writer.send(Body::Hello(self.hello()));
        let Ok(Ok(Body::Hello(hello))) = self.env.timeout(timeout, reader.next()).await else { return None };
        let mut answered = false;
        loop {
            let Ok(Body::ParentStatus(status)) = reader.next().await else { return None };
            if !answered {
                self.search_counters.note_answer();
                answered = true;
            }
            if status.reaches_leader && !status.path.contains(&self.identity.name) {
                return Some(Candidate { hello, status, reader, writer });
            }
        }
    }

    /// While the parent is in another zone, searches periodically for one in this process's own zone; returns when one
    /// is found.
    async fn find_nearer_parent(&self, current: Hello) -> Candidate {
        loop {
            self.env.sleep(Duration::from_millis(self.bounds().blueprint) * 2).await;
            if current.zone == self.identity.zone {
                continue;
            }
            let depth = self.tree_position().1;
            let timeout = self.bounds().call_timeout();
            let probes =
                self.candidate_addresses().into_iter().map(|address| self.env.timeout(timeout, self.probe(address)));
            let results = futures::future::join_all(probes).await;
            // The new parent must be nearer to the root than this process: two processes of equal depth could otherwise
            // choose each other. A node may also choose a control node of equal depth, because a control node never
            // chooses a node of its own depth.
            let is_nearer = |c: &Candidate| {
                c.status.depth < depth
                    || (c.hello.is_control_node && !self.identity.is_control_node && c.status.depth == depth)
            };
            let may_follow = |c: &Candidate| c.hello.is_control_node || !self.identity.is_control_node;
            let is_suitable =
                |c: &Candidate| c.hello.zone == self.identity.zone && !c.status.full && is_nearer(c) && may_follow(c);
            if let Some(c) = results.into_iter().flatten().flatten().filter(is_suitable).min_by_key(|c| c.status.depth)
            {
                return c;
            }
        }
    }

    /// Keeps a parent until it is lost (`None`) or a nearer one is found, which is returned.
    async fn follow_parent(&self, candidate: Candidate) -> Option<Candidate> {
        let Candidate { hello, status, mut reader, writer } = candidate;
        self.log(format!("parent is {} at depth {}", hello.name, status.depth));
        *self.parent.borrow_mut() = Some(Parent { name: hello.name.clone(), writer, status });
        self.snapshot_requested_at.set(None);
        let start = self.env.now();
        self.send_heartbeat(false);
        let nearer = self.find_nearer_parent(hello.clone()).fuse();
        pin_mut!(nearer);
        let why = loop {
            if self.handler().is_leader() {
                return None;
            }
            let next = select_biased! {
                body = self.env.timeout(self.bounds().control_heartbeat(), reader.next()).fuse() => body,
                candidate = nearer => {
                    self.log(format!("parent {} is left for a nearer one", hello.name));
                    return Some(candidate);
                }
            };
            let body = match next {
                Ok(Ok(body)) => Some(body),
                Ok(Err(error)) => {
                    if matches!(error, LinkError::Corrupt) {
                        self.corrupt_frames.set(self.corrupt_frames.get() + 1);
                    }
                    break error.to_string();
                }
                Err(_) => None,
            };
            match body {
                Some(Body::ParentStatus(status)) => {
                    if status.path.contains(&self.identity.name) {
                        break "loop in the tree".into();
                    }
                    let round = status.round;
                    if let Some(parent) = &mut *self.parent.borrow_mut() {
                        parent.status = status;
                    }
                    self.on_round(round);
                }
                Some(Body::FullSnapshot(snapshot)) => self.on_full_snapshot(snapshot),
                Some(Body::SnapshotDelta(delta)) => self.on_delta(delta),
                Some(body) => self.send_down(body),
                None => {}
            }
            let last_acked = self.last_acked_sent_at.get().unwrap_or_default().max(start);
            // Acknowledgements that arrived while this process's tasks were late may not be read yet.
            if self.watched_since(last_acked) > self.stale_timeout() {
                break "stale".into();
            }
        };
        self.log(format!("parent {} lost: {why}", hello.name));
        None
    }
}
