//! The time bounds from the settings, and all other timeouts and intervals, which are derived from them.

use std::time::Duration;

/// The time bounds from the settings, in milliseconds. The `Debug` text of this type is hashed and compared between
/// processes (see [`Bounds::digest`]), so its fields and their order are part of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long nodes may go on serving by an old configuration after a new one was acknowledged.
    pub blueprint: u64,
    /// How old a commit may be that a read with bounded consistency does not see.
    pub fresh: u64,
    /// How long requests may still reach an evacuated zone.
    pub empty: u64,
    /// How long requests may still reach a draining or unreachable server.
    pub drain: u64,
    /// How long service may stay down after the machines are back.
    pub back: u64,
    /// Timeout of a statement.
    pub statement: u64,
    /// How long a transaction may be idle.
    pub idle: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { blueprint: 3000, fresh: 1500, empty: 5000, drain: 7000, back: 12000, statement: 4000, idle: 10000 }
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Bounds {
    /// A checksum of the bounds, never 0. Processes compare it, because those with different bounds must not rely on
    /// each other's leases and timeouts.
    pub fn digest(&self) -> u64 {
        u64::from(crc32fast::hash(format!("{self:?}").as_bytes())) | 1 << 32
    }

    /// How often a node sends a heartbeat to its parent: an eighth of the `blueprint` bound.
    pub fn node_heartbeat(&self) -> Duration {
        ms(self.blueprint / 8)
    }

    /// How long a confirmation by the control nodes is valid, counted from its request: four fifths of the `blueprint`
    /// bound.
    pub fn confirmation_validity(&self) -> Duration {
        ms(self.blueprint * 4 / 5)
    }

    /// How long a lease for a primary or for a share of a server's connections lasts: two thirds of the `blueprint`
    /// bound.
    pub fn lease_duration(&self) -> Duration {
        ms(self.blueprint * 2 / 3)
    }

    /// How long the issuer of a lease waits until it counts as expired: the lease duration and a tenth, since clocks
    /// run at different rates.
    pub fn lease_expiry_wait(&self) -> Duration {
        self.lease_duration() * 11 / 10
    }

    /// How often control nodes send heartbeats to each other: a twenty-fourth of the `blueprint` bound.
    pub fn control_heartbeat(&self) -> Duration {
        ms(self.blueprint / 24)
    }

    /// How long a control node keeps to a leader after its last heartbeat: three heartbeat intervals.
    pub fn leader_hold(&self) -> Duration {
        self.control_heartbeat() * 3
    }

    /// How long the leading control node may act on an acknowledged heartbeat: nine tenths of [`Bounds::leader_hold`].
    pub fn leader_lease(&self) -> Duration {
        self.leader_hold() * 9 / 10
    }

    /// How often a server's position is requested: a sixth of the `fresh` bound.
    pub fn sampling_interval(&self) -> Duration {
        ms(self.fresh / 6)
    }

    /// How long a server may send no report until it counts as unreachable: a quarter of the `drain` bound.
    pub fn server_gone_after(&self) -> Duration {
        ms(self.drain / 4)
    }

    /// How long a server that confirms commits may leave a request unanswered until it counts as missed: a twelfth of
    /// the `drain` bound.
    pub fn server_missed_after(&self) -> Duration {
        ms(self.drain / 12)
    }

    /// Timeout of one call to a peer, or for a server's status: a fifth of the `blueprint` bound.
    pub fn call_timeout(&self) -> Duration {
        ms(self.blueprint / 5)
    }

    /// Timeout of a statement, unless the configuration sets another.
    pub fn statement_timeout(&self) -> Duration {
        ms(self.statement)
    }

    /// How long a transaction may be idle.
    pub fn transaction_idle_timeout(&self) -> Duration {
        ms(self.idle)
    }

    /// How long requests in progress may go on in a zone that is being evacuated: three fifths of the `empty` bound.
    pub fn evacuation_grace(&self) -> Duration {
        ms(self.empty * 3 / 5)
    }

    /// The freshness bound: how old a commit may be that a read with bounded consistency does not see.
    pub fn freshness_bound(&self) -> Duration {
        ms(self.fresh)
    }
}
