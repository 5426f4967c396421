//! A hub with the door of the users' platform.

use std::{cell::RefCell, rc::Rc};

use base::{
    Env,
    http::{self, Endpoint},
    permits::Permits,
    settings::NodeConfig,
    supervisor::Supervisor,
};
use platform::Given;

use crate::{DisabledGuards, Hub, entrance::Entrance, operator::MOST_ORDERS, run_in, store::Fault};

/// A hub that answers servers and operators in the users' manner.
pub struct PlatformHub {
    env: Env,
    pub hub: Hub,
    door: Endpoint,
    place: NodeConfig,
    _tree: Supervisor,
}

impl PlatformHub {
    /// Starts it; it runs for as long as the returned value lives.
    pub async fn start(env: &Env, given: &Given, place: &NodeConfig, disabled: DisabledGuards) -> Result<Self, Fault> {
        let hub = run_in(env, place, disabled, Some(platform::Speech::shared())).await?;
        let door = Endpoint::new(place.max_sessions, place.max_body_bytes);
        let mut tree = Supervisor::new(env);
        if let Some(addr) = given.control {
            let sock: http::ListenerSlot = Rc::new(RefCell::new(Some(env.listen(addr).await?)));
            let (relay, consensus) = (hub.relay.clone(), hub.consensus.clone());
            let entrance = Rc::new(Entrance { env: env.clone(), bounds: place.bounds.clone(), relay, consensus });
            let orders = Permits::new(MOST_ORDERS);
            let make = Rc::new(move || {
                let entrance = entrance.clone();
                let pass: platform::Pass = Rc::new(move |ask| {
                    let entrance = entrance.clone();
                    Box::pin(async move { entrance.pass(ask).await })
                });
                Rc::new(platform::Desk { pass, orders: orders.clone() }) as Rc<dyn http::RequestHandler>
            });
            let (e, d) = (env.clone(), door.clone());
            tree.child("control", move || http::serve(e.clone(), sock.clone(), d.clone(), make.clone()));
        }
        Ok(Self { env: env.clone(), hub, door, place: place.clone(), _tree: tree })
    }

    /// Hands over what this hub does and closes its doors.
    pub async fn leave(&self) {
        self.hub.leave().await;
        self.door.close_idle();
        self.env.sleep(self.place.bounds.control_heartbeat()).await;
    }
}
