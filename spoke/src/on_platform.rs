//! A spoke with the doors of the users' platform.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use base::{
    Env,
    http::{self, Endpoint},
    protocol::SessionProvider,
    runtime::Component,
    settings::NodeConfig,
    supervisor::Supervisor,
};
use platform::Given;

use crate::{DisabledGuards, Node, run_with_protocol};

/// A spoke that serves callers in the users' manner.
pub struct PlatformSpoke {
    env: Env,
    pub node: Node,
    endpoint: Endpoint,
    grace: Duration,
    _tree: Supervisor,
}

async fn bind(env: &Env, addr: SocketAddr) -> io::Result<http::ListenerSlot> {
    let told = |e: io::Error| io::Error::new(e.kind(), format!("{addr}: {e}"));
    Ok(Rc::new(RefCell::new(Some(env.listen(addr).await.map_err(told)?))))
}

/// Wakes the door's sessions when this node can no longer do anything for them.
async fn close_idle_when_not_ready(
    env: Env,
    door: Endpoint,
    host: Rc<dyn SessionProvider>,
    step: Duration,
) -> Result<(), std::convert::Infallible> {
    let mut was = false;
    loop {
        let is = host.is_ready();
        if was && !is {
            env.log(Component::Door, "nothing can be served here now; sessions that rest are closed");
            door.state_changed.notify_waiters();
        }
        was = is;
        env.sleep(step).await;
    }
}

impl PlatformSpoke {
    /// Starts it; it runs for as long as the returned value lives.
    pub async fn start(env: &Env, given: &Given, place: &NodeConfig, disabled: DisabledGuards) -> io::Result<Self> {
        let node = run_with_protocol(env, place, disabled, Some(platform::Speech::shared())).await?;
        let host = node.session_provider();
        let door = Endpoint::new(place.max_sessions, place.max_body_bytes);
        let probe = Endpoint::new(64, 1 << 10);
        let mut tree = Supervisor::new(env);
        if let Some(addr) = given.access {
            let sock = bind(env, addr).await?;
            let (e, d, h) = (env.clone(), door.clone(), host.clone());
            let step = place.bounds.control_heartbeat();
            tree.child("able", move || close_idle_when_not_ready(e.clone(), d.clone(), h.clone(), step));
            let (e, d, h) = (env.clone(), door.clone(), host.clone());
            tree.child("access", move || platform::serve(e.clone(), sock.clone(), d.clone(), h.clone()));
        }
        if let Some(addr) = given.ready {
            let sock = bind(env, addr).await?;
            let leaving = door.clone();
            let make = Rc::new(move || {
                let leaving = leaving.draining.clone();
                Rc::new(platform::Probe { host: host.clone(), leaving }) as Rc<dyn http::RequestHandler>
            });
            let (e, p) = (env.clone(), probe.clone());
            tree.child("ready", move || http::serve(e.clone(), sock.clone(), p.clone(), make.clone()));
        }
        let grace = Duration::from_millis(given.grace);
        Ok(Self { env: env.clone(), node, endpoint: door, grace, _tree: tree })
    }

    /// Says that no new callers are wanted, serves on until that is known, then lets each session go once nothing of it
    /// is open. Open transactions have the first half of the grace. What still runs towards its end is given up on, and
    /// told so.
    pub async fn leave(&self) {
        let start = self.env.now();
        self.endpoint.draining.set(true);
        self.env.sleep(self.grace * 5 / 12).await;
        self.endpoint.close_idle();
        self.until_closed(start + self.grace / 2).await;
        self.endpoint.close_transactions();
        self.until_closed(start + self.grace * 10 / 12).await;
        self.endpoint.abort_statements();
        self.until_closed(self.env.now() + self.grace / 24).await;
        self.env
            .log(Component::Main, format!("{} sessions left open at the end", self.endpoint.open_connections.get()));
        self.node.release_all().await;
    }

    /// Waits until no session is open, or until this moment.
    async fn until_closed(&self, end: Duration) {
        while self.endpoint.open_connections.get() > 0 && self.env.now() < end {
            self.env.sleep(self.grace / 120).await;
        }
    }
}
