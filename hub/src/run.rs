//! Assembles a control node and runs it under its supervisor.

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
    consensus::{Consensus, DisabledConsensusGuards, Identity},
    http_endpoint::HttpHandler,
    leadership::Leadership,
    store::{DiskContent, Store, StoreError},
};

/// Safeguards that tests disable to show that each is needed. The programs leave all of them enabled.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledGuards {
    /// Elect a primary without waiting until the leases on the previous one have expired.
    pub skip_lease_wait: bool,
    /// Elect a primary after reading a single server.
    pub elect_from_one_log: bool,
    /// Let a disk without an image vote.
    pub empty_disk_votes: bool,
    /// Continue to lead without acknowledgements of a majority.
    pub no_leader_lease: bool,
    /// Accept a change whatever sequence it is based on.
    pub no_version_check: bool,
    /// Accept configurations without checks.
    pub no_configuration_check: bool,
    /// Grant shares regardless of the outstanding ones.
    pub ignore_outstanding_shares: bool,
    /// Accept processes that run with other bounds.
    pub any_bounds: bool,
    /// Ignore at the start what the disk holds.
    pub ignore_stored_state: bool,
    /// Count every log towards the quorum, whatever it lost.
    pub count_any_log: bool,
    /// Promote a server without suspending replication on the others.
    pub no_replication_suspension: bool,
    /// Change the consensus members in one step, without a joint configuration.
    pub no_joint: bool,
    /// Form the first image at any start.
    pub form_again: bool,
    /// Elect a primary although the list of servers may be incomplete.
    pub any_membership: bool,
    /// Use one fencing token for all promotions of a term.
    pub one_fencing_token: bool,
    /// Promote servers at once although the previous leader may have done so a moment ago.
    pub no_promoter_change_pause: bool,
    /// Grant a cold server's whole cap at once.
    pub no_warm_up: bool,
    /// Decide on an order by the latest local state, before a majority confirmed it.
    pub early_verdict: bool,
    /// Ignore which orders were applied before.
    pub no_order_memory: bool,
    /// Don't answer `OutcomeUnknown` to an order that is too old to determine whether it was applied, so that it is
    /// refused by the other checks.
    pub refuse_forgotten: bool,
    /// Leave a group without a primary when the reason of a hand-over is withdrawn after the primary stepped down.
    pub leave_hand_over: bool,
    /// Have a primary step down for a hand-over although the platform can't be reached.
    pub step_down_unconnected: bool,
    /// Have a primary step down although the platform may still carry out a promotion of it.
    pub step_down_unsettled: bool,
    /// Keep replicas suspended for the rest of the term after a promotion whose outcome is unknown.
    pub forget_unknown_promotions: bool,
    /// Acknowledge that a server drains or ends before a majority has recorded it, and let late heartbeats undo it.
    pub forget_departures: bool,
    /// Keep no connection to a server that deregistered and still serves.
    pub drop_deregistered: bool,
    /// Consider only the zones that servers and nodes reported since this control node began to lead.
    pub reported_zones_only: bool,
}

/// The size of the log, in bytes, at which the store writes a new slot.
const MAX_LOG_BYTES: u64 = 256 << 10;

/// A running control node.
pub struct ControlNode {
    /// The consensus among the control nodes.
    pub consensus: Rc<Consensus>,
    /// What this control node does while it leads.
    pub leadership: Rc<Leadership>,
    /// The link to the other processes in the tree.
    pub relay: Rc<Relay>,
    /// The HTTP endpoint for operators and servers.
    pub endpoint: Endpoint,
    _tree: Supervisor,
    _consensus_tasks: [base::runtime::TaskGuard; 2],
}

/// Passes what arrives over the relay to the consensus and the leadership.
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
        self.consensus.leads_with_lease()
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
            let retry = response.header("retry-after").and_then(|seconds| seconds.parse().ok()).unwrap_or(0);
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
        if from.is_control_node && self.consensus.has_same_bounds(&from.name, from.bounds_digest) {
            self.consensus.on_frame(&from.name, body, Some(out.clone()));
        }
    }

    fn on_peer_connected(&self, from: &Hello) {
        if from.is_control_node && self.consensus.has_same_bounds(&from.name, from.bounds_digest) {
            self.consensus.add_discovered(&from.peer);
        }
    }

    fn control_nodes(&self) -> Vec<SocketAddr> {
        self.consensus.addresses().into_iter().collect()
    }

    fn fill_hello(&self, hello: &mut Hello) {
        self.consensus.fill_hello(hello);
    }
}

/// Starts a control node, which runs until the returned value is dropped. Fails if the disk or an address can't be
/// used.
pub async fn run(env: &Env, config: &NodeConfig, disabled: DisabledGuards) -> Result<ControlNode, StoreError> {
    run_with_protocol(env, config, disabled, None).await
}

/// Like [`run`], with the protocol of servers that confirm commits.
pub async fn run_with_protocol(
    env: &Env,
    config: &NodeConfig,
    disabled: DisabledGuards,
    server_protocol: Option<Rc<dyn ServerProtocol>>,
) -> Result<ControlNode, StoreError> {
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
    if disabled.ignore_stored_state {
        state = Default::default();
    }
    match found {
        DiskContent::Empty => env.log(Component::Disk, "the data folder is empty"),
        DiskContent::Corrupt => {
            env.log(Component::Disk, "no slot can be read; starting with an empty disk and a new incarnation")
        }
        DiskContent::Valid => {}
    }
    if state.incarnation == 0 {
        // Written before anything else, so that the other members recognize this disk after a restart.
        state.incarnation = env.rand() | 1;
        if config.first_start && found == DiskContent::Empty && config.seeds.contains(&config.peer) {
            state.formation_seeds = config.seeds.iter().map(ToString::to_string).collect();
        }
        store.save_or_abort(&state).await;
    }
    let peer = env.listen(config.peer).await?;
    let listener: http::ListenerSlot = Rc::new(RefCell::new(Some(env.listen(config.http).await?)));
    let guards = DisabledConsensusGuards {
        any_incarnation: disabled.empty_disk_votes,
        no_lease: disabled.no_leader_lease,
        any_bounds: disabled.any_bounds,
        early_result: disabled.early_verdict,
        no_joint: disabled.no_joint,
        form_again: disabled.form_again,
        ..DisabledConsensusGuards::default()
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
    let lag = LoopLag::new(env, config.bounds.control_heartbeat());
    relay.set_loop_lag(lag.clone());
    let leadership =
        Leadership::new(env, consensus.clone(), relay.clone(), config, server_protocol, lag.clone(), disabled);
    *handler.leadership.borrow_mut() = Some(leadership.clone());
    relay.set_handler(handler);
    let endpoint = Endpoint::new(config.max_sessions, config.max_body_bytes);

    let consensus_tasks = [env.spawn(consensus.clone().run(queue, store)), env.spawn(consensus.clone().run_ticker())];
    let mut tree = Supervisor::new(env);
    let peers = consensus.clone();
    tree.child("peers", move || peers.clone().maintain_links());
    relay.supervise(&mut tree, peer);
    let task = leadership.clone();
    tree.child("leadership", move || task.clone().run());
    let (http_env, http_endpoint) = (env.clone(), endpoint.clone());
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
        format!(
            "control node {} in zone {} serves {}, version {}",
            node_identity.name,
            node_identity.zone,
            config.http,
            build_info::BUILD
        ),
    );
    Ok(ControlNode { consensus, leadership, relay, endpoint, _tree: tree, _consensus_tasks: consensus_tasks })
}

impl ControlNode {
    /// Sets the address of the platform.
    pub fn set_platform_address(&self, address: Option<std::net::SocketAddr>) {
        self.leadership.platform_address.set(address);
    }

    /// Hands leadership over and closes idle connections.
    pub async fn leave(&self) {
        self.consensus.leave().await;
        self.relay.leave();
        self.endpoint.close_idle();
    }
}
