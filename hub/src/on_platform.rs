//! A control node with the control endpoint of the users' platform.

use std::{cell::RefCell, rc::Rc};

use base::{
    Env,
    http::{self, Endpoint},
    permits::Permits,
    settings::NodeConfig,
    supervisor::Supervisor,
};
use platform::PlatformSettings;

use crate::{
    ControlNode, DisabledGuards, forwarding::LeaderForwarder, operator::MAX_CONCURRENT_ORDERS, run_with_protocol,
    store::StoreError,
};

/// A control node that also serves servers and operators in the platform's protocol.
pub struct PlatformControlNode {
    env: Env,
    /// The control node itself.
    pub control_node: ControlNode,
    /// The control endpoint of the platform.
    endpoint: Endpoint,
    config: NodeConfig,
    _tree: Supervisor,
}

impl PlatformControlNode {
    /// Starts a control node, which runs until the returned value is dropped. Fails if the disk or an address can't be
    /// used.
    pub async fn start(
        env: &Env,
        given: &PlatformSettings,
        config: &NodeConfig,
        disabled: DisabledGuards,
    ) -> Result<Self, StoreError> {
        let control_node = run_with_protocol(env, config, disabled, Some(platform::PlatformProtocol::shared())).await?;
        let endpoint = Endpoint::new(config.max_sessions, config.max_body_bytes);
        let mut tree = Supervisor::new(env);
        if let Some(addr) = given.control_address {
            let listener: http::ListenerSlot = Rc::new(RefCell::new(Some(env.listen(addr).await?)));
            let (relay, consensus) = (control_node.relay.clone(), control_node.consensus.clone());
            let forwarder =
                Rc::new(LeaderForwarder { env: env.clone(), bounds: config.bounds.clone(), relay, consensus });
            let orders = Permits::new(MAX_CONCURRENT_ORDERS);
            let make_handler = Rc::new(move || {
                let forwarder = forwarder.clone();
                let forward: platform::ForwardRequest = Rc::new(move |request| {
                    let forwarder = forwarder.clone();
                    Box::pin(async move { forwarder.forward(request).await })
                });
                Rc::new(platform::ControlEndpoint { forward, order_permits: orders.clone() })
                    as Rc<dyn http::RequestHandler>
            });
            let (task_env, task_endpoint) = (env.clone(), endpoint.clone());
            tree.child("control", move || {
                http::serve(task_env.clone(), listener.clone(), task_endpoint.clone(), make_handler.clone())
            });
        }
        Ok(Self { env: env.clone(), control_node, endpoint, config: config.clone(), _tree: tree })
    }

    /// Hands leadership over, closes idle connections and waits for one heartbeat interval of the control nodes.
    pub async fn leave(&self) {
        self.control_node.leave().await;
        self.endpoint.close_idle();
        self.env.sleep(self.config.bounds.control_heartbeat()).await;
    }
}
