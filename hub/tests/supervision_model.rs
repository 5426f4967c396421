//! A model check of the decision on a group (`hub::supervision`): one group of three servers, the platform, and the leading
//! control node, under all orders of crashes, evacuations, requests, outages of the platform, lost answers and changes of
//! the leading control node, to a bounded depth.
//!
//! Checked in each reachable state: no server is promoted without all acknowledged commits, and once the troubles end the
//! group is led again. Assumed: calls for one group follow each other more slowly than the platform carries them out (an
//! unanswered one by `call_timeout` and the pause after it, 0.85 s at the users' bounds). Not modeled: a replica that forgets on a restart that it was suspended, and servers that are not on
//! the group's list (review/1, review/2). `PORTSPOKE_SUPERVISION_DEPTH=13`
//! searches deeper, and finds what KNOWN-RED.txt lists.

use std::collections::HashMap;

use hub::supervision::{NextStep, ReportedPrimary, Responsiveness, Situation};

const SERVERS: u8 = 3;
const ALL: u8 = 0b111;
/// The environment variable with the number of events in a row that are searched.
const DEPTH_VARIABLE: &str = "PORTSPOKE_SUPERVISION_DEPTH";
const DEFAULT_DEPTH: usize = 12;
/// How many steps the control node may take until the group is led, once the troubles are over.
const STEPS_TO_RECOVER: usize = 12;

fn bit(server: u8) -> u8 {
    1 << server
}

/// How a call to the platform ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    Accepted,
    /// Accepted, and the answer is lost.
    AcceptedUnanswered,
    /// Not answered; it may still arrive.
    InTransit,
}

const CALL_OUTCOMES: [CallOutcome; 3] =
    [CallOutcome::Accepted, CallOutcome::AcceptedUnanswered, CallOutcome::InTransit];

/// How many accepted promotions wait at most to be carried out.
const MAX_ACCEPTED: usize = 3;

/// The accepted promotions, in the order in which they will be carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Accepted([Option<u8>; MAX_ACCEPTED]);

impl Accepted {
    fn is_empty(self) -> bool {
        self.0[0].is_none()
    }

    /// With one more, unless as many wait already as the model follows.
    fn with(mut self, server: u8) -> Self {
        if let Some(free) = self.0.iter_mut().find(|waiting| waiting.is_none()) {
            *free = Some(server);
        }
        self
    }

    /// The first one, and the rest.
    fn split_first(mut self) -> Option<(u8, Self)> {
        let first = self.0[0]?;
        self.0.rotate_left(1);
        self.0[MAX_ACCEPTED - 1] = None;
        Some((first, self))
    }
}

/// The guards that the model can leave out.
#[derive(Clone, Copy, Debug, Default)]
struct Disabled {
    /// Step down while a promotion of the primary may still be carried out.
    step_down_unsettled: bool,
    /// Don't keep replicas suspended after a promotion of unknown outcome.
    resume_despite_unknown: bool,
    /// Don't keep them suspended after a promotion of an earlier leading control node that is not fenced off yet.
    resume_unsettled: bool,
    /// Promote another server while it is unknown whether the last one will be.
    promote_another: bool,
    /// Don't promote a server when nobody leads.
    leave_hand_over: bool,
}

/// The whole state: servers, platform and control node. Sets of servers are bit masks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    running: u8,
    evacuated: u8,
    suspended: u8,
    /// Those that have every acknowledged commit.
    holders: u8,
    primary: Option<u8>,
    platform_up: bool,
    accepted: Accepted,
    /// Calls that may still arrive at the platform.
    in_transit: u8,
    /// The server of the latest call, which has the highest fencing token.
    newest_call: Option<u8>,
    /// The server that the newest call of the present leading control node was to make primary.
    last_called: Option<u8>,
    /// The server that nodes hold leases on.
    lease: Option<u8>,
    known: u8,
    granting: bool,
    requested: Option<u8>,
    /// Suspended by the present leading control node.
    suspended_here: u8,
    outcome_unknown: bool,
    fenced: bool,
    settled: bool,
    /// The control node waits for the server that it promoted.
    awaiting: bool,
}

impl State {
    fn initial() -> Self {
        Self {
            running: ALL,
            evacuated: 0,
            suspended: 0,
            holders: ALL,
            primary: Some(0),
            platform_up: true,
            accepted: Accepted::default(),
            in_transit: 0,
            newest_call: None,
            last_called: None,
            lease: Some(0),
            known: 0,
            granting: true,
            requested: None,
            suspended_here: 0,
            outcome_unknown: false,
            fenced: true,
            settled: true,
            awaiting: false,
        }
    }

    fn runs(&self, server: u8) -> bool {
        self.running & bit(server) != 0
    }

    /// The servers that may lead.
    fn eligible(&self) -> u8 {
        self.running & !self.evacuated
    }

    /// The primary, if it runs.
    fn observed(&self) -> Option<u8> {
        self.primary.filter(|primary| self.runs(*primary))
    }

    fn situation(&self, disabled: Disabled) -> Situation {
        let known = bit(self.known);
        Situation {
            has_known_primary: true,
            reported: match self.observed() {
                None => ReportedPrimary::Nobody,
                Some(primary) if primary == self.known => ReportedPrimary::Known,
                Some(_) => ReportedPrimary::Later,
            },
            responsiveness: match self.running & known {
                0 => Responsiveness::Silent,
                _ => Responsiveness::Responding,
            },
            has_stepped_down: self.running & known != 0 && self.primary != Some(self.known),
            must_be_relieved: self.evacuated & known != 0,
            known_is_eligible: self.eligible() & known != 0,
            other_is_eligible: self.eligible() & !known != 0,
            requested_is_eligible: self
                .requested
                .is_some_and(|server| server != self.known && self.eligible() & bit(server) != 0),
            proven: self.granting,
            leases_released: self.lease.is_none(),
            first_election_due: true,
            may_promote: true,
            promotions_settled: self.settled || disabled.step_down_unsettled,
            reported_is_last_promoted: self.observed().is_some() && self.observed() == self.last_called,
        }
    }

    /// Whether replicas that were suspended may resume.
    fn may_resume(&self, disabled: Disabled) -> bool {
        self.settled || disabled.resume_unsettled && !self.outcome_unknown || disabled.resume_despite_unknown
    }

    /// Calls the platform to promote a server, with each way in which that may end.
    fn promote(self, server: u8) -> Vec<State> {
        if !self.platform_up {
            return vec![self];
        }
        let call = |outcome: CallOutcome| {
            let mut next = State { newest_call: Some(server), last_called: Some(server), ..self };
            if outcome == CallOutcome::InTransit {
                next.in_transit |= bit(server);
            } else {
                // Its fencing token is higher than those of earlier calls.
                next.in_transit = 0;
                next.accepted = next.accepted.with(server);
            }
            if outcome == CallOutcome::Accepted {
                (next.awaiting, next.fenced) = (true, true);
            } else {
                (next.outcome_unknown, next.fenced, next.settled) = (true, false, false);
            }
            next
        };
        CALL_OUTCOMES.into_iter().map(call).collect()
    }

    /// Fences off earlier promotions, as is done whenever a primary is observed.
    fn fence(self) -> Vec<State> {
        if self.observed().is_none() {
            return vec![self];
        }
        if !self.fenced {
            let leases_allow = !self.outcome_unknown || self.primary == Some(self.known) || self.lease.is_none();
            let may_call = self.platform_up && self.accepted.is_empty() && leases_allow;
            let Some(primary) = self.primary.filter(|_| may_call) else { return vec![self] };
            let fenced = |mut next: State| {
                next.last_called = None;
                next.fenced = next.awaiting;
                next.awaiting = false;
                next
            };
            return self.promote(primary).into_iter().map(fenced).collect();
        }
        let mut next = self;
        // A lease duration is longer than the platform takes to carry a promotion out.
        if !self.settled && self.accepted.is_empty() {
            (next.settled, next.outcome_unknown) = (true, false);
            (next.suspended, next.suspended_here) = (0, 0);
        }
        vec![next]
    }

    /// One look of the control node at the group.
    fn supervise(self, disabled: Disabled) -> Vec<State> {
        if self.awaiting && !self.accepted.is_empty() {
            return vec![self];
        }
        let mut start = self;
        start.awaiting = false;
        start.fence().into_iter().flat_map(|state| state.take_next_step(disabled)).collect()
    }

    fn take_next_step(self, disabled: Disabled) -> Vec<State> {
        let mut next = self;
        let carried_out = self.accepted.is_empty();
        match self.situation(disabled).next_step() {
            NextStep::Wait | NextStep::ElectFirst => {}
            NextStep::AdoptReported => {
                next.granting = false;
                if self.lease.is_none_or(|server| Some(server) == self.primary) {
                    let Some(primary) = self.primary else { return vec![next] };
                    (next.known, next.granting, next.requested) = (primary, true, None);
                    next.lease = Some(primary);
                    if self.may_resume(disabled) {
                        (next.suspended, next.suspended_here) = (0, 0);
                    }
                }
            }
            NextStep::FailOver => {
                (next.granting, next.requested) = (false, None);
                let others = ALL & !bit(self.known);
                if self.running & others != others {
                    return vec![next];
                }
                (next.suspended, next.suspended_here) = (next.suspended | others, next.suspended_here | others);
                let best = (0..SERVERS).filter(|server| others & bit(*server) != 0);
                let best = best.max_by_key(|server| (self.holders & bit(*server) != 0, self.eligible() & bit(*server)));
                let may_promote =
                    |best: &u8| !self.outcome_unknown || self.last_called == Some(*best) || self.lease.is_none();
                if let Some(best) = best.filter(|best| carried_out && may_promote(best)) {
                    return next.promote(best);
                }
            }
            NextStep::HandOver => {
                if self.platform_up {
                    next.primary = None;
                }
            }
            NextStep::PromoteSuccessor => {
                next.granting = false;
                if disabled.leave_hand_over || !carried_out {
                    return vec![next];
                }
                next.requested = None;
                let unresolved = self.last_called.filter(|_| self.outcome_unknown && !disabled.promote_another);
                if let Some(server) = unresolved.filter(|server| self.runs(*server)) {
                    return next.promote(server);
                }
                // One that has not caught up is not promoted; the old primary is instead.
                let caught_up = self.eligible() & self.holders;
                let successor = (0..SERVERS)
                    .filter(|server| caught_up & bit(*server) != 0)
                    .max_by_key(|server| (self.requested == Some(*server), *server == self.known));
                let successor = successor.unwrap_or(self.known);
                let may_promote = self.settled || self.last_called == Some(successor) || self.lease.is_none();
                return if may_promote || disabled.promote_another { next.promote(successor) } else { vec![next] };
            }
            NextStep::Keep { grant_leases } => {
                next.granting = grant_leases;
                if grant_leases {
                    next.lease = Some(self.known);
                }
                if self.situation(disabled).is_primary() && self.may_resume(disabled) {
                    next.suspended &= !self.suspended_here;
                    next.suspended_here = 0;
                }
                next.requested = self.requested.filter(|server| self.eligible() & bit(*server) != 0);
            }
        }
        vec![next]
    }

    /// The platform carries the first accepted promotion out, if there is one; an error if that loses a commit.
    fn carry_out(self) -> Result<Option<State>, String> {
        let Some((server, rest)) = self.accepted.split_first() else { return Ok(None) };
        let mut next = State { accepted: rest, ..self };
        if !self.runs(server) || self.primary == Some(server) {
            return Ok(Some(next));
        }
        if self.holders & bit(server) == 0 {
            return Err(format!("server {server} is promoted without an acknowledged commit"));
        }
        next.primary = Some(server);
        // Replicas that were ahead are cut back, but not by acknowledged commits: the new primary has all of them.
        (next.suspended, next.suspended_here) = (0, 0);
        Ok(Some(next))
    }

    /// What servers and platform do by themselves.
    fn progress(self) -> Result<Vec<State>, String> {
        let mut out: Vec<State> = self.carry_out()?.into_iter().collect();
        for server in (0..SERVERS).filter(|server| self.in_transit & bit(*server) != 0 && self.platform_up) {
            let mut next = self;
            next.in_transit &= !bit(server);
            next.accepted = next.accepted.with(server);
            if self.newest_call == Some(server) {
                // Calls with lower fencing tokens are refused from now on.
                next.in_transit = 0;
            }
            out.push(next);
        }
        if let Some(primary) = self.observed() {
            let receiving = self.running & !self.suspended & !bit(primary);
            for replica in (0..SERVERS).filter(|server| receiving & bit(*server) != 0) {
                if self.holders & bit(primary) != 0 {
                    out.push(State { holders: self.holders | bit(replica), ..self });
                }
                if self.lease == Some(primary) {
                    // A commit that only these two have is acknowledged.
                    out.push(State { holders: bit(primary) | bit(replica), ..self });
                }
            }
        }
        if !self.granting && self.lease.is_some() {
            out.push(State { lease: None, ..self });
        }
        Ok(out)
    }

    /// Troubles and orders. At most one server is down and at most one is in an evacuated zone.
    fn troubles(self) -> Vec<State> {
        let mut out = Vec::new();
        for server in 0..SERVERS {
            if self.running == ALL {
                out.push(State { running: ALL & !bit(server), ..self });
            }
            if self.evacuated == 0 {
                out.push(State { evacuated: bit(server), ..self });
            }
            if self.requested.is_none() && server != self.known {
                out.push(State { requested: Some(server), ..self });
            }
        }
        if self.running != ALL {
            out.push(State { running: ALL, ..self });
        }
        if self.evacuated != 0 {
            out.push(State { evacuated: 0, ..self });
        }
        out.push(State { platform_up: !self.platform_up, ..self });
        // Another control node leads: it knows the recorded primary, and nothing of calls and orders under way. It pauses
        // before its first call for longer than the platform takes to carry a promotion out.
        if self.accepted.is_empty() {
            out.push(State {
                granting: false,
                requested: None,
                suspended_here: 0,
                last_called: None,
                outcome_unknown: false,
                fenced: false,
                settled: false,
                awaiting: false,
                ..self
            });
        }
        out
    }

    /// Whether the group is led, and a replica can confirm commits.
    fn is_led(&self) -> bool {
        let others = ALL & !bit(self.known);
        self.primary == Some(self.known) && self.granting && self.suspended & others != others
    }

    /// Whether the group is led soon after the troubles end, with every call answered.
    fn recovers(self, disabled: Disabled) -> bool {
        let mut state = State { running: ALL, evacuated: 0, platform_up: true, ..self };
        for _ in 0..STEPS_TO_RECOVER {
            // A commit that is lost here is found by the search itself.
            while let Ok(Some(next)) = state.carry_out() {
                state = next;
            }
            if let Some(primary) = state.observed().filter(|primary| state.holders & bit(*primary) != 0) {
                state.holders |= bit(primary) | (state.running & !state.suspended);
            }
            if !state.granting {
                state.lease = None;
            }
            state.in_transit = 0;
            // The first outcome of a call is that it is accepted and answered.
            state = state.supervise(disabled)[0];
        }
        state.is_led()
    }
}

/// The states that led to one, from the first on, one a line.
fn trace(parents: &HashMap<State, Option<State>>, last: State) -> String {
    let path = std::iter::successors(Some(last), |state| parents[state]).collect::<Vec<_>>();
    path.iter().rev().map(|state| format!("\n{state:?}")).collect()
}

/// Searches all states that up to `depth` events lead to. Returns their number, or what is wrong with one and what led to
/// it.
fn search(depth: usize, disabled: Disabled) -> Result<usize, String> {
    let mut parents = HashMap::from([(State::initial(), None)]);
    let mut frontier = vec![State::initial()];
    for _ in 0..depth {
        let mut next_frontier = Vec::new();
        for state in frontier {
            if !state.recovers(disabled) {
                return Err(format!("nobody leads for good after{}", trace(&parents, state)));
            }
            let progress = state.progress().map_err(|fault| format!("{fault} after{}", trace(&parents, state)))?;
            for successor in state.supervise(disabled).into_iter().chain(progress).chain(state.troubles()) {
                parents.entry(successor).or_insert_with(|| {
                    next_frontier.push(successor);
                    Some(state)
                });
            }
        }
        frontier = next_frontier;
    }
    Ok(parents.len())
}

#[test]
fn no_order_of_events_loses_a_commit_or_leaves_a_group_without_a_primary() {
    let depth = std::env::var(DEPTH_VARIABLE).ok().and_then(|depth| depth.parse().ok()).unwrap_or(DEFAULT_DEPTH);
    let states = search(depth, Disabled::default()).unwrap_or_else(|fault| panic!("{fault}"));
    println!("{states} states, {depth} events deep");
}

#[test]
fn a_step_down_before_a_promotion_is_carried_out_is_found() {
    let disabled = Disabled { step_down_unsettled: true, ..Disabled::default() };
    let fault = search(DEFAULT_DEPTH, disabled).expect_err("a commit is lost");
    assert!(fault.contains("without an acknowledged commit"), "{fault}");
}

#[test]
fn replicas_that_resume_despite_an_unknown_promotion_are_found() {
    let disabled = Disabled { resume_despite_unknown: true, ..Disabled::default() };
    let fault = search(DEFAULT_DEPTH, disabled).expect_err("a commit is lost");
    assert!(fault.contains("without an acknowledged commit"), "{fault}");
}

#[test]
fn replicas_that_resume_before_earlier_promotions_are_fenced_off_are_found() {
    let disabled = Disabled { resume_unsettled: true, ..Disabled::default() };
    let fault = search(DEFAULT_DEPTH, disabled).expect_err("a commit is lost");
    assert!(fault.contains("without an acknowledged commit"), "{fault}");
}

#[test]
fn another_promotion_beside_an_unknown_one_is_found() {
    let disabled = Disabled { promote_another: true, ..Disabled::default() };
    let fault = search(DEFAULT_DEPTH, disabled).expect_err("a commit is lost");
    assert!(fault.contains("without an acknowledged commit"), "{fault}");
}

#[test]
fn a_hand_over_that_is_left_is_found() {
    let disabled = Disabled { leave_hand_over: true, ..Disabled::default() };
    let fault = search(DEFAULT_DEPTH, disabled).expect_err("nobody leads");
    assert!(fault.contains("nobody leads"), "{fault}");
}
