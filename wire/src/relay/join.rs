use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use futures::{FutureExt, StreamExt, pin_mut, select_biased, stream::FuturesUnordered};

use super::{Parent, Relay};
use crate::{Body, Hello, LinkError, LinkReader, LinkWriter, ParentStatus, link};

/// How many fellow nodes are tried beside the hubs.
const FELLOWS: usize = 4;

struct Found {
    hello: Hello,
    root: ParentStatus,
    inn: LinkReader,
    out: LinkWriter,
}

impl Relay {
    /// Finds a parent, and another whenever that one is lost, stale or heard one way only.
    pub(super) async fn join(self: Rc<Self>) -> Result<(), Infallible> {
        let mut next = None;
        loop {
            if self.head().is_leader() {
                next = None;
                self.parent.borrow_mut().take();
                self.env.sleep(self.bounds().control_heartbeat()).await;
                continue;
            }
            let found = match next.take() {
                Some(f) => Some(f),
                None => self.find().await,
            };
            match found {
                Some(found) => {
                    self.search_counters.end_found();
                    next = self.stay(found).await;
                }
                None => {
                    self.search_counters.end_failed().iter().for_each(|line| self.log(line));
                    self.env.sleep(self.bounds().control_heartbeat() / 2).await;
                }
            }
            // A better parent takes the place of the old one; without one, a beat goes out as soon as there is any.
            if next.is_none() && self.parent.borrow_mut().take().is_some() {
                self.urgent_heartbeat.notify_waiters();
            }
        }
    }

    /// The addresses at which a parent is looked for: the control nodes that the settings name or that this node knows
    /// of otherwise, and a few fellow nodes. Whoever leads may be none of those that the settings name.
    fn places(&self) -> Vec<SocketAddr> {
        let mut list = self.identity.seeds.clone();
        list.extend(self.head().control_nodes());
        list.sort();
        list.dedup();
        list.retain(|address| *address != self.identity.peer);
        if let Some(news) = self.latest() {
            let mut fellows: Vec<_> = news
                .nodes
                .iter()
                .filter(|n| n.name != self.identity.name)
                .filter_map(|n| Some((n.zone != self.identity.zone, self.env.rand(), n.peer.parse().ok()?)))
                .filter(|(_, _, a)| !list.contains(a))
                .collect();
            fellows.sort();
            list.extend(fellows.into_iter().take(FELLOWS).map(|f| f.2));
        }
        list
    }

    /// Waits for a fed candidate; the best of those that turn up within a moment of the first.
    async fn find(&self) -> Option<Found> {
        let places = self.places();
        self.search_counters.begin(places.len());
        let mut looks: FuturesUnordered<_> = places.into_iter().map(|a| self.look(a)).collect();
        let mut good: Vec<Found> = Vec::new();
        let last = self.env.sleep(self.bounds().call_timeout() * 2).fuse();
        pin_mut!(last);
        let mut soon = Box::pin(futures::future::Fuse::terminated());
        loop {
            select_biased! {
                next = looks.next() => match next {
                    None => break,
                    Some(None) => {}
                    Some(Some(f)) => {
                        let best = f.hello.zone == self.identity.zone && f.hello.hub && !f.root.full;
                        if good.is_empty() {
                            soon = Box::pin(self.env.sleep(self.bounds().control_heartbeat() / 4).fuse());
                        }
                        good.push(f);
                        if best {
                            break;
                        }
                    }
                },
                _ = soon => break,
                _ = last => break,
            }
        }
        // A hub hangs on the leading one however full that is, so that its own area's nodes are near the root.
        let key = |f: &Found| {
            (
                f.root.full && !self.identity.is_control_node,
                f.hello.zone != self.identity.zone,
                f.root.depth,
                self.env.rand(),
            )
        };
        good.into_iter().min_by_key(key)
    }

    /// Opens a link and waits on it until the other side is fed.
    async fn look(&self, addr: SocketAddr) -> Option<Found> {
        let span = self.bounds().call_timeout();
        let io = self.env.connect(addr, span).await.ok()?;
        let (mut inn, out) = link::open(&self.env, io);
        out.send(Body::Hello(self.hello()));
        let Ok(Ok(Body::Hello(hello))) = self.env.timeout(span, inn.next()).await else { return None };
        let mut answered = false;
        loop {
            let Ok(Body::ParentStatus(root)) = inn.next().await else { return None };
            if !answered {
                self.search_counters.note_answer();
                answered = true;
            }
            if root.reaches_leader && !root.path.contains(&self.identity.name) {
                return Some(Found { hello, root, inn, out });
            }
        }
    }

    /// Looks for a parent in the own area from time to time, while one of another area is held.
    async fn nearer(&self, now: Hello) -> Found {
        loop {
            self.env.sleep(Duration::from_millis(self.bounds().blueprint) * 2).await;
            if now.zone == self.identity.zone {
                continue;
            }
            let depth = self.tree_position().1;
            let span = self.bounds().call_timeout();
            let looks = self.places().into_iter().map(|a| self.env.timeout(span, self.look(a)));
            let all = futures::future::join_all(looks).await;
            // Never to a node as deep as this one, or two would hang on each other; a hub is left by no such rule.
            // Never to a node as deep as this one, or two would hang on each other; hubs choose by another rule.
            let near = |f: &Found| {
                f.root.depth < depth || (f.hello.hub && !self.identity.is_control_node && f.root.depth == depth)
            };
            let fit = |f: &Found| f.hello.zone == self.identity.zone && !f.root.full && near(f);
            if let Some(f) = all.into_iter().flatten().flatten().filter(fit).min_by_key(|f| f.root.depth) {
                return f;
            }
        }
    }

    /// Holds to a parent until it is lost, or until a nearer one is found, which is given.
    async fn stay(&self, found: Found) -> Option<Found> {
        let Found { hello, root, mut inn, out } = found;
        self.log(format!("parent is {} at depth {}", hello.name, root.depth));
        *self.parent.borrow_mut() = Some(Parent { name: hello.name.clone(), out, root });
        self.news_requested.set(None);
        let start = self.env.now();
        self.send_beat(false);
        let better = self.nearer(hello.clone()).fuse();
        pin_mut!(better);
        let why = loop {
            if self.head().is_leader() {
                return None;
            }
            let next = select_biased! {
                body = self.env.timeout(self.bounds().control_heartbeat(), inn.next()).fuse() => body,
                found = better => {
                    self.log(format!("parent {} is left for a nearer one", hello.name));
                    return Some(found);
                }
            };
            let body = match next {
                Ok(Ok(b)) => Some(b),
                Ok(Err(e)) => {
                    if matches!(e, LinkError::Corrupt) {
                        self.corrupt_frames.set(self.corrupt_frames.get() + 1);
                    }
                    break e.to_string();
                }
                Err(_) => None,
            };
            match body {
                Some(Body::ParentStatus(r)) => {
                    if r.path.contains(&self.identity.name) {
                        break "a ring".into();
                    }
                    let wave = r.round;
                    if let Some(p) = &mut *self.parent.borrow_mut() {
                        p.root = r;
                    }
                    self.called(wave);
                }
                Some(Body::FullSnapshot(n)) => self.take_whole(n),
                Some(Body::SnapshotDelta(d)) => self.take_delta(d),
                Some(b) => self.down(b),
                None => {}
            }
            let last = self.heard_at.get().unwrap_or_default().max(start);
            if self.env.now() - last > self.stale() {
                break "stale".into();
            }
        };
        self.log(format!("parent {} lost: {why}", hello.name));
        None
    }
}
