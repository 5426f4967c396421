//! Puts a hub together and runs it under its supervisor.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use base::{
    http::{self, Endpoint, RequestHandler},
    loop_lag::LoopLag,
    protocol::ServerProtocol,
    runtime::{Component, Env},
    settings::NodeConfig,
    supervisor::Supervisor,
};
use wire::{
    Body, ForwardedRequest, ForwardedResponse, Hello, LinkWriter, NodeHeartbeat, NodeHeartbeatAck, Snapshot,
    relay::{NodeIdentity, Relay, RelayHandler},
};

use crate::{
    consensus::{Consensus, Guards, Identity},
    http_endpoint::HttpHandler,
    leadership::Leadership,
    store::{Fault, Found, Store},
};

/// Guards that tests take away to see that they are needed; the programs leave all in place.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledGuards {
    /// Elect without waiting for grants to run out.
    pub no_wait: bool,
    /// Elect after reading a single server.
    pub read_one: bool,
    /// Let a blank disk vote.
    pub blank_votes: bool,
    /// Lead on without hearing a majority.
    pub no_lease: bool,
    /// Take a change whatever sequence it was made against.
    pub no_compare: bool,
    /// Take sets unchecked.
    pub no_check: bool,
    /// Give shares without looking at what is out.
    pub no_ledger: bool,
    /// Deal with processes that count by other bounds.
    pub any_rule: bool,
    /// Forget at the start what the disk holds.
    pub no_recall: bool,
    /// Count any log, whatever became of it.
    pub no_roll: bool,
    /// Name a leader without keeping the others from receiving.
    pub no_hold: bool,
    /// Change the members of the consensus in one step.
    pub no_joint: bool,
    /// Form the first image at any start.
    pub form_again: bool,
    /// Elect from whatever servers are listed.
    pub any_list: bool,
    /// Name all servers of a term under one fence.
    pub one_fence: bool,
    /// Name primaries at once though an earlier holder of that duty may have done so a moment ago.
    pub no_duty_rest: bool,
    /// Give a cold server's whole cap at once.
    pub no_ramp: bool,
    /// Judge an order from the newest state at hand, before a majority confirmed it.
    pub early_verdict: bool,
    /// Forget which orders were taken.
    pub no_order_memory: bool,
    /// Refuse an order so old that nobody can tell whether it was taken.
    pub refuse_forgotten: bool,
    /// Know only the zones that servers and nodes told of since this hub began to lead.
    pub soft_zones: bool,
}

/// The size at which the log gives way to a new slot.
const MAX_LOG_BYTES: u64 = 256 << 10;

/// A running hub.
pub struct Hub {
    pub consensus: Rc<Consensus>,
    pub leadership: Rc<Leadership>,
    pub relay: Rc<Relay>,
    pub door: Endpoint,
    _tree: Supervisor,
    _consensus_tasks: [base::runtime::TaskGuard; 2],
}

struct ControlNodeHandler {
    consensus: Rc<Consensus>,
    leadership: std::cell::RefCell<Option<Rc<Leadership>>>,
    env: Env,
}

impl ControlNodeHandler {
    fn leadership(&self) -> Rc<Leadership> {
        self.leadership.borrow().clone().expect("the leadership is set before the relay runs")
    }
}

impl RelayHandler for ControlNodeHandler {
    fn is_leader(&self) -> bool {
        self.consensus.leads()
    }

    fn fill_heartbeat(&self, _heartbeat: &mut NodeHeartbeat) {}

    fn on_ack(&self, _ack: NodeHeartbeatAck, _sent: std::time::Duration) {}

    fn on_snapshot(&self, _snapshot: &Rc<Snapshot>) {}

    fn handle_heartbeat(&self, heartbeat: NodeHeartbeat) -> Option<NodeHeartbeatAck> {
        self.leadership().on_heartbeat(heartbeat)
    }

    fn handle_request(&self, request: ForwardedRequest, respond: Box<dyn FnOnce(ForwardedResponse)>) {
        let leadership = self.leadership();
        let task = async move {
            let response = leadership.handle_request(&request.method, &request.path, request.body).await;
            let retry = response.header("retry-after").and_then(|r| r.parse().ok()).unwrap_or(0);
            let (origin, boot_id, nonce) = (request.origin, request.boot_id, request.nonce);
            respond(ForwardedResponse {
                origin,
                nonce,
                status: u32::from(response.status),
                retry_after_s: retry,
                body: response.body,
                boot_id,
            });
        };
        self.env.spawn(task).detach();
    }

    fn on_other_frame(&self, from: &Hello, body: Body, out: &LinkWriter) {
        if from.hub && self.consensus.agrees(&from.name, from.bounds_digest) {
            self.consensus.frame(&from.name, body, Some(out.clone()));
        }
    }

    fn on_peer_connected(&self, from: &Hello) {
        if from.hub && self.consensus.agrees(&from.name, from.bounds_digest) {
            self.consensus.met(&from.peer);
        }
    }

    fn control_nodes(&self) -> Vec<SocketAddr> {
        self.consensus.addresses().into_iter().collect()
    }

    fn fill_hello(&self, hello: &mut Hello) {
        self.consensus.hello(hello);
    }
}

/// Starts a hub; it runs for as long as the returned value lives.
pub async fn run(env: &Env, config: &NodeConfig, disabled: DisabledGuards) -> Result<Hub, Fault> {
    run_in(env, config, disabled, None).await
}

/// Starts a hub that speaks to servers which confirm commits in the users' manner.
pub async fn run_in(
    env: &Env,
    config: &NodeConfig,
    disabled: DisabledGuards,
    server_protocol: Option<Rc<dyn ServerProtocol>>,
) -> Result<Hub, Fault> {
    let node_identity = NodeIdentity {
        name: config.name.clone(),
        zone: config.zone.clone(),
        is_control_node: true,
        peer: config.peer,
        http: config.http,
        seeds: config.seeds.clone(),
        boot_id: env.rand(),
    };
    let (mut store, mut state, found) = Store::open(env, MAX_LOG_BYTES).await?;
    if disabled.no_recall {
        state = Default::default();
    }
    match found {
        Found::Fresh => env.log(Component::Disk, "the data folder is empty"),
        Found::Torn => {
            env.log(Component::Disk, "no slot can be read; starting with an empty disk of a new incarnation")
        }
        Found::Whole => {}
    }
    if state.incarnation == 0 {
        // Written before anything else, so that whoever counts this disk knows it again after a restart.
        state.incarnation = env.rand() | 1;
        if config.first_start && found == Found::Fresh && config.seeds.contains(&config.peer) {
            state.formation_seeds = config.seeds.iter().map(ToString::to_string).collect();
        }
        store.keep(&state).await;
    }
    let peer = env.listen(config.peer).await?;
    let listener: http::ListenerSlot = Rc::new(RefCell::new(Some(env.listen(config.http).await?)));
    let guards = Guards {
        any_incarnation: disabled.blank_votes,
        no_lease: disabled.no_lease,
        any_bounds: disabled.any_rule,
        early_verdict: disabled.early_verdict,
        no_joint: disabled.no_joint,
        form_again: disabled.form_again,
        ..Guards::default()
    };
    let identity = Identity {
        name: config.name.clone(),
        zone: config.zone.clone(),
        address: config.peer,
        seeds: config.seeds.clone(),
    };
    let target = config.tolerated_losses * 2 + 1;
    let (consensus, queue) =
        Consensus::new(env, identity, node_identity.boot_id, config.bounds.clone(), target, state, guards);
    let relay = Relay::new(env, node_identity.clone(), config.bounds.clone());
    let handler =
        Rc::new(ControlNodeHandler { consensus: consensus.clone(), leadership: Default::default(), env: env.clone() });
    let leadership = Leadership::new(env, consensus.clone(), relay.clone(), config, server_protocol, disabled);
    *handler.leadership.borrow_mut() = Some(leadership.clone());
    relay.set_handler(handler);
    let endpoint = Endpoint::new(config.max_sessions, config.max_body_bytes);

    let consensus_tasks = [env.spawn(consensus.clone().run(queue, store)), env.spawn(consensus.clone().ticks())];
    let mut tree = Supervisor::new(env);
    let peers = consensus.clone();
    tree.child("peers", move || peers.clone().keep_links());
    relay.supervise(&mut tree, peer);
    let task = leadership.clone();
    tree.child("leadership", move || task.clone().run());
    let (http_env, http_endpoint) = (env.clone(), endpoint.clone());
    let lag = LoopLag::new(env, config.bounds.control_heartbeat());
    let watched_lag = lag.clone();
    tree.child("loop lag", move || watched_lag.clone().watch());
    let (http_relay, http_consensus) = (relay.clone(), consensus.clone());
    tree.child("door", move || {
        let (relay, consensus, lag) = (http_relay.clone(), http_consensus.clone(), lag.clone());
        let make = Rc::new(move || {
            Rc::new(HttpHandler { relay: relay.clone(), consensus: consensus.clone(), lag: lag.clone() })
                as Rc<dyn RequestHandler>
        });
        http::serve(http_env.clone(), listener.clone(), http_endpoint.clone(), make)
    });
    env.log(
        Component::Main,
        format!("hub {} in area {} serves {}", node_identity.name, node_identity.zone, config.http),
    );
    Ok(Hub { consensus, leadership, relay, door: endpoint, _tree: tree, _consensus_tasks: consensus_tasks })
}

impl Hub {
    /// Takes a changed address of the platform.
    pub fn platform(&self, addr: Option<std::net::SocketAddr>) {
        self.leadership.platform_address.set(addr);
    }

    /// Hands over what this hub does and closes its doors.
    pub async fn leave(&self) {
        self.consensus.leave().await;
        self.relay.leave();
        self.door.close_idle();
    }
}
