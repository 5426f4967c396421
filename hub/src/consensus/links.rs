//! Links to the other control nodes, over which this node's own requests go out.

use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
};

use base::runtime::TaskGuard;
use wire::{Body, Hello, LinkReader, LinkWriter};

use super::{Consensus, Input, PeerHello};

/// For how many spans that make a member count as lost a guest is dialled after it was last heard of.
const GUEST_MEMORY: u32 = 4;

/// After how many holds of silence a leader gives a link up.
const SILENT_HOLDS: u32 = 4;

impl Consensus {
    /// Another control node dialled this one or told of itself; it is dialled from now on.
    pub fn met(&self, address: &str) {
        if let Ok(address) = address.parse() {
            self.guests.borrow_mut().insert(address, self.env.now());
        }
    }

    /// Keeps a link to every other control node: those in the settings, the members, those that came by.
    pub async fn keep_links(self: Rc<Self>) -> Result<(), Infallible> {
        let mut tasks: BTreeMap<SocketAddr, TaskGuard> = BTreeMap::new();
        loop {
            self.forget_guests();
            let addresses = self.addresses();
            tasks.retain(|address, _| addresses.contains(address));
            for address in addresses {
                tasks.entry(address).or_insert_with(|| {
                    let me = self.clone();
                    self.env.spawn(async move { me.keep_link(address).await })
                });
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    /// Guests that have not been heard of for long are gone for good, or come by again.
    fn forget_guests(&self) {
        let now = self.env.now();
        let connected = self.connected.borrow();
        self.guests.borrow_mut().retain(|address, last| {
            if connected.contains(address) {
                *last = now;
            }
            now < *last + self.bounds.server_gone_after() * GUEST_MEMORY
        });
    }

    /// The other control nodes that this node knows of. An address with a link stays, so that no task ends in the midst
    /// of it.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let mut all: BTreeSet<SocketAddr> = self.identity.seeds.iter().copied().collect();
        all.extend(self.guests.borrow().keys());
        all.extend(self.connected.borrow().iter());
        if let Some(image) = &self.core.borrow().durable().image {
            let members = image.members.iter().chain(&image.outgoing_members);
            all.extend(members.filter_map(|m| m.address.parse::<SocketAddr>().ok()));
        }
        all.remove(&self.identity.address);
        all
    }

    async fn keep_link(self: Rc<Self>, address: SocketAddr) {
        loop {
            if let Some((hello, input, out)) = self.dial(address).await.filter(|d| d.0.name != self.identity.name) {
                self.connected.borrow_mut().insert(address);
                self.use_link(hello, input, out).await;
                self.connected.borrow_mut().remove(&address);
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    async fn dial(&self, address: SocketAddr) -> Option<(Hello, LinkReader, LinkWriter)> {
        let span = self.bounds.call_timeout();
        let stream = self.env.connect(address, span).await.ok()?;
        let (mut input, out) = wire::open(&self.env, stream);
        let mut hello = Hello {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            hub: true,
            peer: self.identity.address.to_string(),
            boot_id: self.boot,
            bounds_digest: self.bounds.digest(),
            pieces: true,
            ..Hello::default()
        };
        self.hello(&mut hello);
        out.send(Body::Hello(hello));
        match self.env.timeout(span, input.next()).await {
            Ok(Ok(Body::Hello(h))) if h.hub && self.agrees(&h.name, h.bounds_digest) => Some((h, input, out)),
            _ => None,
        }
    }

    async fn use_link(&self, hello: Hello, mut input: LinkReader, out: LinkWriter) {
        let name = hello.name.clone();
        self.links.borrow_mut().insert(name.clone(), out);
        let hello = PeerHello {
            name: hello.name,
            zone: hello.zone,
            address: hello.peer,
            incarnation: hello.incarnation,
            empty: hello.empty,
            rescued: hello.rescued,
            may_form: hello.may_form,
            takes_deltas: hello.pieces,
        };
        self.queue(Input::Connected(hello), None);
        loop {
            match self.env.timeout(self.bounds.leader_hold() * SILENT_HOLDS, input.next()).await {
                Ok(Ok(body)) => self.frame(&name, body, None),
                Ok(Err(_)) => break,
                // A silent link only matters to one who wants answers over it.
                Err(_) if !self.core.borrow().awaits_answers() => {}
                Err(_) => break,
            }
        }
        self.links.borrow_mut().remove(&name);
        self.queue(Input::Disconnected(name), None);
    }
}
