use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
};

use base::seam::Job;

use wire::{Body, Hello, In, Out};

use super::Agree;

impl Agree {
    /// Another control node came by; it is dialled from now on.
    pub fn met(&self, peer: &str) {
        if let Ok(addr) = peer.parse() {
            self.guests.borrow_mut().insert(addr);
        }
    }

    /// Keeps a link to every other control node: those named at the start, those on the roster, those that came by.
    pub async fn peers(self: Rc<Self>) -> Result<(), Infallible> {
        let mut jobs: BTreeMap<SocketAddr, Job> = BTreeMap::new();
        loop {
            let mut all: BTreeSet<SocketAddr> = self.who.seeds.iter().copied().collect();
            all.extend(self.guests.borrow().iter());
            if let Some(i) = &self.state.borrow().kept.image {
                all.extend(i.homes.iter().filter_map(|h| h.peer.parse::<SocketAddr>().ok()));
            }
            for addr in all.into_iter().filter(|a| *a != self.who.peer) {
                jobs.entry(addr).or_insert_with(|| {
                    let me = self.clone();
                    self.env.spawn(async move {
                        let _ = me.peer(addr).await;
                    })
                });
            }
            self.env.sleep(self.bounds.pulse()).await;
        }
    }

    /// Keeps a link to one other hub, for this hub's own votes and pulses.
    pub async fn peer(self: Rc<Self>, addr: SocketAddr) -> Result<(), Infallible> {
        loop {
            if let Some((from, inn, out)) = self.dial(addr).await.filter(|d| d.0.name != self.who.name) {
                self.stay(from, inn, out).await;
            }
            self.env.sleep(self.bounds.pulse()).await;
        }
    }

    async fn dial(&self, addr: SocketAddr) -> Option<(Hello, In, Out)> {
        let span = self.bounds.call();
        let io = self.env.connect(addr, span).await.ok()?;
        let (mut inn, out) = wire::open(&self.env, io);
        let mut hello = Hello {
            name: self.who.name.clone(),
            area: self.who.area.clone(),
            hub: true,
            peer: self.who.peer.to_string(),
            boot: self.who.boot,
            rule: self.bounds.sum(),
            ..Hello::default()
        };
        self.hello(&mut hello);
        out.send(Body::Hello(hello));
        match self.env.within(span, inn.next()).await {
            Ok(Ok(Body::Hello(h))) if h.hub && self.agrees(&h.name, h.rule) => Some((h, inn, out)),
            _ => None,
        }
    }

    async fn stay(&self, from: Hello, mut inn: In, out: Out) {
        {
            let mut s = self.state.borrow_mut();
            let p = s.peers.entry(from.name.clone()).or_default();
            p.out = Some(out);
            p.addr.clone_from(&from.peer);
            p.lost = None;
            p.born = from.born;
            p.blank = from.blank;
            p.rescued = from.rescued;
            p.at = (0, 0);
            p.pulses.clear();
        }
        loop {
            match self.env.within(self.bounds.hold() * 4, inn.next()).await {
                Ok(Ok(body)) => self.frame(&from.name, body, None),
                Ok(Err(_)) => break,
                // A silent link only matters to one who wants returns over it.
                Err(_) if self.state.borrow().role == super::Role::Following => {}
                Err(_) => break,
            }
        }
        if let Some(p) = self.state.borrow_mut().peers.get_mut(&from.name) {
            p.out = None;
            p.lost = Some(self.env.now());
        }
    }
}
