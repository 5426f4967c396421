//! Outgoing links to the other control nodes. This node sends its own messages over them and receives the replies.

use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
};

use base::runtime::TaskGuard;
use wire::{Body, Hello, LinkReader, LinkWriter};

use super::{Consensus, Input, PeerHello};

/// A discovered control node is dialled until it was not seen for this multiple of the time after which a server counts
/// as gone.
const DISCOVERED_NODE_EXPIRY_FACTOR: u32 = 4;

/// Hold times without a message after which a leader or candidate closes a link.
const SILENT_LINK_HOLDS: u32 = 4;

impl Consensus {
    /// Records the address of a control node that connected to this one or was reported in a heartbeat; it is dialled
    /// from now on. An invalid address is ignored.
    pub fn add_discovered(&self, address: &str) {
        if let Ok(address) = address.parse() {
            self.discovered.borrow_mut().insert(address, self.env.now());
        }
    }

    /// Keeps a link to every other known control node: seeds in the settings, members and discovered nodes.
    pub async fn maintain_links(self: Rc<Self>) -> Result<(), Infallible> {
        let mut tasks: BTreeMap<SocketAddr, TaskGuard> = BTreeMap::new();
        loop {
            self.expire_discovered();
            let addresses = self.addresses();
            tasks.retain(|address, _| addresses.contains(address));
            for address in addresses {
                tasks.entry(address).or_insert_with(|| {
                    let this = self.clone();
                    self.env.spawn(async move { this.maintain_link(address).await })
                });
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    /// Removes discovered control nodes that have not been seen for long; one that returns is discovered again.
    fn expire_discovered(&self) {
        let now = self.env.now();
        let connected = self.connected.borrow();
        self.discovered.borrow_mut().retain(|address, last_seen| {
            if connected.contains(address) {
                *last_seen = now;
            }
            now < *last_seen + self.bounds.server_gone_after() * DISCOVERED_NODE_EXPIRY_FACTOR
        });
    }

    /// Addresses of the other known control nodes. An address with an open link stays included, so that the task that
    /// runs the link is not cancelled.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses: BTreeSet<SocketAddr> = self.identity.seeds.iter().copied().collect();
        addresses.extend(self.discovered.borrow().keys());
        addresses.extend(self.connected.borrow().iter());
        if let Some(image) = &self.core.borrow().durable().image {
            let members = image.members.iter().chain(&image.outgoing_members);
            addresses.extend(members.filter_map(|m| m.address.parse::<SocketAddr>().ok()));
        }
        addresses.remove(&self.identity.address);
        addresses
    }

    async fn maintain_link(self: Rc<Self>, address: SocketAddr) {
        loop {
            if let Some((hello, input, output)) = self.dial(address).await.filter(|d| d.0.name != self.identity.name) {
                self.connected.borrow_mut().insert(address);
                self.run_link(hello, input, output).await;
                self.connected.borrow_mut().remove(&address);
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    async fn dial(&self, address: SocketAddr) -> Option<(Hello, LinkReader, LinkWriter)> {
        let timeout = self.bounds.call_timeout();
        let stream = self.env.connect(address, timeout).await.ok()?;
        let (mut input, output) = wire::open(&self.env, stream);
        let mut hello = Hello {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            is_control_node: true,
            peer: self.identity.address.to_string(),
            boot_id: self.boot_id,
            bounds_digest: self.bounds.digest(),
            accepts_pieces: true,
            ..Hello::default()
        };
        self.fill_hello(&mut hello);
        output.send(Body::Hello(hello));
        match self.env.timeout(timeout, input.next()).await {
            Ok(Ok(Body::Hello(h))) if h.is_control_node && self.has_same_bounds(&h.name, h.bounds_digest) => {
                Some((h, input, output))
            }
            _ => None,
        }
    }

    async fn run_link(&self, hello: Hello, mut input: LinkReader, output: LinkWriter) {
        let name = hello.name.clone();
        self.links.borrow_mut().insert(name.clone(), output);
        let hello = PeerHello {
            name: hello.name,
            zone: hello.zone,
            address: hello.peer,
            incarnation: hello.incarnation,
            has_no_image: hello.has_no_image,
            rescued: hello.rescued,
            may_form: hello.may_form,
            accepts_deltas: hello.accepts_pieces,
        };
        self.queue(Input::Connected(hello), None);
        loop {
            match self.env.timeout(self.bounds.leader_hold() * SILENT_LINK_HOLDS, input.next()).await {
                Ok(Ok(body)) => self.on_frame(&name, body, None),
                Ok(Err(_)) => break,
                // A follower expects no messages over its outgoing links, so silence is no sign of a broken link.
                Err(_) if !self.core.borrow().expects_responses() => {}
                Err(_) => break,
            }
        }
        self.links.borrow_mut().remove(&name);
        self.queue(Input::Disconnected(name), None);
    }
}
