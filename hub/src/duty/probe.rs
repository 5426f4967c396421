use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::{
    edge::backend::{self, Signs},
    http::Client,
    seam::Job,
    words::Position,
};
use bytes::Bytes;

use super::Duty;

/// What the hub read of a server on its own connection.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// When the reading was asked for.
    pub asked: Duration,
    /// When it came.
    pub at: Duration,
    pub place: Position,
    pub leads: bool,
    /// The identity of the log.
    pub log: u64,
}

impl Duty {
    /// Keeps one reading task for each server of the image.
    pub(super) async fn probes(self: Rc<Self>) {
        let mut jobs: BTreeMap<String, (String, Job)> = BTreeMap::new();
        loop {
            let addrs: BTreeMap<String, String> = {
                let image = self.agree.image();
                let servers = self.servers.borrow();
                let all = image.iter().flat_map(|i| i.groups.iter().flat_map(|g| g.all().cloned()));
                all.filter_map(|s| Some((s.clone(), servers.get(&s)?.addr.clone()))).collect()
            };
            jobs.retain(|s, (a, _)| addrs.get(s) == Some(a));
            for (server, addr) in addrs {
                let Ok(sock) = addr.parse() else { continue };
                if !jobs.contains_key(&server) {
                    let me = self.clone();
                    let name = server.clone();
                    let job = self.env.spawn(async move { me.probe(name, sock).await });
                    jobs.insert(server, (addr, job));
                }
            }
            self.env.sleep(self.bounds.pulse()).await;
        }
    }

    async fn probe(&self, server: String, addr: SocketAddr) {
        let span = self.bounds.call();
        let mut refused = 0;
        loop {
            let start = self.env.now();
            if let Ok(mut line) = Client::connect(&self.env, addr, span, 1 << 16).await {
                while line.open() {
                    let asked = self.env.now();
                    let Ok(out) = line.call("GET", backend::PLACE, &[], Bytes::new(), span).await else { break };
                    let signs = backend::signs(&out);
                    if let Signs { place: Some(place), leads, log, .. } = signs {
                        let seen = Seen { asked, at: self.env.now(), place, leads, log };
                        refused = 0;
                        self.refused.borrow_mut().remove(&server);
                        self.seen_now(&server, seen);
                        self.bell.ring();
                    }
                    let rest = self.bounds.sample();
                    let soon = self.bell.until(|| (self.env.now() < self.urgent.get()).then_some(()));
                    if self.env.within(rest, soon).await.is_ok() {
                        self.env.sleep(rest / 10).await;
                    }
                }
            }
            refused = if self.env.now() - start < span / 4 { refused + 1 } else { 0 };
            if refused > 1 {
                self.refused.borrow_mut().insert(server.clone());
            }
            self.env.sleep(self.bounds.sample() / 2).await;
        }
    }
}
