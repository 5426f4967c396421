//! What the leading control node does next for a group whose servers confirm commits.
//!
//! [`Situation`] is all that the decision depends on, and [`Situation::next_step`] is a pure function of it, so that tests
//! can go through every situation. docs/group-leadership.md lists the steps, what leads to each and how each ends.

/// Which server the servers of a group recently reported as primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportedPrimary {
    /// None of them.
    Nobody,
    /// The known primary.
    Known,
    /// Another server, in a later epoch than the known primary's, or while no primary is known.
    Later,
    /// Another server, in no later epoch than the known primary's.
    Outdated,
}

/// Whether the known primary answers control nodes and nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Responsiveness {
    Responding,
    /// It has left requests unanswered, though not for long enough to replace it.
    Late,
    Silent,
}

/// What is known of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Situation {
    /// A primary is recorded, observed or reported with a lease.
    pub has_known_primary: bool,
    pub reported: ReportedPrimary,
    pub responsiveness: Responsiveness,
    /// The known primary recently reported itself as a replica.
    pub has_stepped_down: bool,
    /// The known primary drains, has deregistered or is in an evacuated zone.
    pub must_be_relieved: bool,
    /// The known primary may lead and reported its status recently.
    pub known_is_eligible: bool,
    /// Another server may lead and reported its status recently.
    pub other_is_eligible: bool,
    /// A hand-over was requested to a server that may lead and reported its status recently.
    pub requested_is_eligible: bool,
    /// The known primary was observed as primary, and no reason to doubt it has come up since.
    pub proven: bool,
    /// No lease on a primary of this group can be in force.
    pub leases_released: bool,
    /// A group of at least two servers of which none has reported itself as primary since this term began.
    pub first_election_due: bool,
    /// The platform may be called now.
    pub may_promote: bool,
    /// No promotion of this or an earlier leading control node may still be carried out.
    pub promotions_settled: bool,
    /// The server that reports itself as primary is the last one that this control node had promoted.
    pub reported_is_last_promoted: bool,
}

/// What to do next for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Nothing; a lease has to expire, a server to answer or a promotion to be fenced off first.
    Wait,
    /// Grant leases on the reported primary once none on another server can be in force.
    AdoptReported,
    /// Elect a primary from the logs of all servers but one, as none is known.
    ElectFirst,
    /// Elect another primary from the logs of all other servers.
    FailOver,
    /// Have the primary, which leads, step down, and promote another server. If a promotion of the old primary were
    /// carried out afterwards, it would confirm commits that the other one lacks.
    HandOver,
    /// Promote a server, as nobody leads: the known primary has stepped down.
    PromoteSuccessor,
    /// Keep the known primary.
    Keep {
        /// Whether leases on it are granted.
        grant_leases: bool,
    },
}

impl Situation {
    /// The next step.
    pub fn next_step(self) -> NextStep {
        if self.reported == ReportedPrimary::Later {
            // Commits of a primary would be lost if the promotion of another server were carried out after them.
            return if self.promotions_settled || self.reported_is_last_promoted {
                NextStep::AdoptReported
            } else if self.has_known_primary {
                NextStep::Keep { grant_leases: false }
            } else {
                NextStep::Wait
            };
        }
        if !self.has_known_primary {
            let may_elect = self.first_election_due && self.leases_released && self.may_promote;
            return if may_elect { NextStep::ElectFirst } else { NextStep::Wait };
        }
        if self.responsiveness == Responsiveness::Silent {
            return NextStep::FailOver;
        }
        if self.nobody_leads() {
            let has_successor = self.other_is_eligible || self.known_is_eligible;
            return if has_successor && self.may_promote {
                NextStep::PromoteSuccessor
            } else {
                NextStep::Keep { grant_leases: false }
            };
        }
        let is_wanted = (self.must_be_relieved && self.other_is_eligible) || self.requested_is_eligible;
        if is_wanted && self.may_promote && self.promotions_settled {
            return NextStep::HandOver;
        }
        NextStep::Keep { grant_leases: self.is_primary() && self.responsiveness == Responsiveness::Responding }
    }

    /// Whether the known primary has stepped down and no server has taken its place.
    fn nobody_leads(self) -> bool {
        self.has_stepped_down && self.reported != ReportedPrimary::Known
    }

    /// Whether the known primary leads: it says so, or it was seen to and nothing contradicts it.
    pub fn is_primary(self) -> bool {
        match self.reported {
            ReportedPrimary::Known => true,
            ReportedPrimary::Nobody => self.proven,
            ReportedPrimary::Later | ReportedPrimary::Outdated => false,
        }
    }
}
