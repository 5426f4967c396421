use std::{convert::Infallible, net::SocketAddr, rc::Rc};

use wire::{Body, Hello, In, Out};

use super::Agree;

impl Agree {
    /// Keeps a link to one other hub, for this hub's own votes and pulses.
    pub async fn peer(self: Rc<Self>, addr: SocketAddr) -> Result<(), Infallible> {
        loop {
            if let Some((from, inn, out)) = self.dial(addr).await {
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
        }
    }
}
