//! A node with the endpoints of the platform protocol.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use base::{
    Env,
    http::{self, Endpoint},
    protocol::SessionProvider,
    runtime::Component,
    settings::NodeConfig,
    supervisor::Supervisor,
};
use platform::PlatformSettings;

use crate::{DisabledGuards, Node, run_with_protocol};

/// A node that serves clients over the platform protocol.
pub struct PlatformNode {
    env: Env,
    pub node: Node,
    endpoint: Endpoint,
    /// How long shutting down may take.
    grace: Duration,
    _tree: Supervisor,
}

async fn bind(env: &Env, addr: SocketAddr) -> io::Result<http::ListenerSlot> {
    Ok(Rc::new(RefCell::new(Some(env.listen(addr).await?))))
}

/// Notifies the endpoint's sessions when this node is no longer ready to serve, so that idle ones are closed.
async fn close_idle_when_not_ready(
    env: Env,
    endpoint: Endpoint,
    host: Rc<dyn SessionProvider>,
    interval: Duration,
) -> Result<(), std::convert::Infallible> {
    let mut was_ready = false;
    loop {
        let is_ready = host.is_ready();
        if was_ready && !is_ready {
            env.log(Component::Endpoint, "nothing can be served here now; closing idle sessions");
            endpoint.state_changed.notify_waiters();
        }
        was_ready = is_ready;
        env.sleep(interval).await;
    }
}

/// How many connections the readiness endpoint accepts at a time.
const MAX_PROBE_CONNECTIONS: usize = 64;
/// The largest request body that the readiness endpoint accepts.
const MAX_PROBE_BODY_BYTES: usize = 1 << 10;

impl PlatformNode {
    /// Starts the node. It runs for as long as the returned value lives.
    ///
    /// # Errors
    /// If one of its addresses can't be listened on.
    pub async fn start(
        env: &Env,
        settings: &PlatformSettings,
        config: &NodeConfig,
        disabled: DisabledGuards,
    ) -> io::Result<Self> {
        let node = run_with_protocol(env, config, disabled, Some(platform::PlatformProtocol::shared())).await?;
        let host = node.session_provider();
        let endpoint = Endpoint::new(config.max_sessions, config.max_body_bytes);
        let readiness_endpoint = Endpoint::new(MAX_PROBE_CONNECTIONS, MAX_PROBE_BODY_BYTES);
        let mut tree = Supervisor::new(env);
        if let Some(addr) = settings.client_address {
            let listener = bind(env, addr).await?;
            let (child_env, child_endpoint, child_host) = (env.clone(), endpoint.clone(), host.clone());
            let interval = config.bounds.control_heartbeat();
            tree.child("closing of idle sessions", move || {
                close_idle_when_not_ready(child_env.clone(), child_endpoint.clone(), child_host.clone(), interval)
            });
            let (child_env, child_endpoint, child_host) = (env.clone(), endpoint.clone(), host.clone());
            tree.child("access", move || {
                platform::serve_clients(child_env.clone(), listener.clone(), child_endpoint.clone(), child_host.clone())
            });
        }
        if let Some(addr) = settings.readiness_address {
            let listener = bind(env, addr).await?;
            let client_endpoint = endpoint.clone();
            let new_probe = Rc::new(move || {
                let leaving = client_endpoint.draining.clone();
                Rc::new(platform::ReadinessProbe { provider: host.clone(), draining: leaving })
                    as Rc<dyn http::RequestHandler>
            });
            let (child_env, child_endpoint) = (env.clone(), readiness_endpoint.clone());
            tree.child("ready", move || {
                http::serve(child_env.clone(), listener.clone(), child_endpoint.clone(), new_probe.clone())
            });
        }
        let grace = Duration::from_millis(settings.grace_ms);
        Ok(Self { env: env.clone(), node, endpoint, grace, _tree: tree })
    }

    /// Shuts the node down. It reports itself as not ready and serves on until that is known to clients (5/12 of the
    /// grace period); then it closes each session that has no open transaction. Open transactions may end until half of
    /// the grace period. Statements that are still running at 10/12 are aborted, and their clients get an error.
    pub async fn shut_down(&self) {
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

    /// Waits until no session is open, or until `deadline`.
    async fn until_closed(&self, deadline: Duration) {
        while self.endpoint.open_connections.get() > 0 && self.env.now() < deadline {
            self.env.sleep(self.grace / 120).await;
        }
    }
}
