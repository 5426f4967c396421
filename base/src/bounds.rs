//! The bounds the users gave, and every other span as a ratio to them.

use std::time::Duration;

/// The bounds from the settings, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long an acknowledged doorway set may go unheeded.
    pub blueprint: u64,
    /// How old a commit a lookup may miss.
    pub fresh: u64,
    /// How long work may still reach an emptied area.
    pub empty: u64,
    /// How long work may still reach a draining or gone server.
    pub drain: u64,
    /// How long service may stay down after machines return.
    pub back: u64,
    /// How long a statement may take at most.
    pub statement: u64,
    /// How long a transaction may sit idle.
    pub idle: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { blueprint: 3000, fresh: 1500, empty: 5000, drain: 7000, back: 12000, statement: 4000, idle: 10000 }
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Bounds {
    /// A number that only equal bounds have: processes that count by different ones must not rely on each other.
    pub fn digest(&self) -> u64 {
        u64::from(crc32fast::hash(format!("{self:?}").as_bytes())) | 1 << 32
    }

    /// How often a node beats to its parent: an eighth of the blueprint bound.
    pub fn node_heartbeat(&self) -> Duration {
        ms(self.blueprint / 8)
    }

    /// How long a confirmation counts from when it was asked for: four fifths of the blueprint bound.
    pub fn confirmation_validity(&self) -> Duration {
        ms(self.blueprint * 4 / 5)
    }

    /// How long a leader or share grant lasts: two thirds of the blueprint bound.
    pub fn lease_duration(&self) -> Duration {
        ms(self.blueprint * 2 / 3)
    }

    /// How long the giver waits before a grant counts as run out: the grant and a tenth, for clocks that differ.
    pub fn lease_expiry_wait(&self) -> Duration {
        self.lease_duration() * 11 / 10
    }

    /// How often hubs beat to each other: a twenty-fourth of the blueprint bound.
    pub fn control_heartbeat(&self) -> Duration {
        ms(self.blueprint / 24)
    }

    /// How long a hub holds to a leading hub it heard: three pulses.
    pub fn leader_hold(&self) -> Duration {
        self.control_heartbeat() * 3
    }

    /// How long a leading hub may act on an acknowledged pulse: nine tenths of the hold.
    pub fn leader_lease(&self) -> Duration {
        self.leader_hold() * 9 / 10
    }

    /// How often a server is asked for its position: a sixth of the freshness bound.
    pub fn sampling_interval(&self) -> Duration {
        ms(self.fresh / 6)
    }

    /// How long a server may go unheard before it counts as gone: a quarter of the drain bound.
    pub fn server_gone_after(&self) -> Duration {
        ms(self.drain / 4)
    }

    /// How long a server that confirms commits may leave a question unanswered before it counts as missed: a twelfth
    /// of the drain bound.
    pub fn server_missed_after(&self) -> Duration {
        ms(self.drain / 12)
    }

    /// How long one call to a peer or server's status may take.
    pub fn call_timeout(&self) -> Duration {
        ms(self.blueprint / 5)
    }

    /// How long a statement may take at most.
    pub fn statement_timeout(&self) -> Duration {
        ms(self.statement)
    }

    /// How long a transaction may sit idle.
    pub fn transaction_idle_timeout(&self) -> Duration {
        ms(self.idle)
    }

    /// How long work in flight may go on in a place that is being emptied: three fifths of the bound.
    pub fn evacuation_grace(&self) -> Duration {
        ms(self.empty * 3 / 5)
    }

    /// The freshness bound.
    pub fn freshness_bound(&self) -> Duration {
        ms(self.fresh)
    }
}
