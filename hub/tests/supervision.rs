//! The decision on a group whose servers confirm commits, in every situation there is.

use hub::supervision::{
    NextStep::{self, *},
    ReportedPrimary, Responsiveness, Situation,
};

const REPORTED: [ReportedPrimary; 4] =
    [ReportedPrimary::Nobody, ReportedPrimary::Known, ReportedPrimary::Later, ReportedPrimary::Outdated];
const RESPONSIVENESS: [Responsiveness; 3] = [Responsiveness::Responding, Responsiveness::Late, Responsiveness::Silent];
/// How many yes-or-no facts a situation has.
const FLAGS: u32 = 12;

/// Every situation that can come about.
fn situations() -> impl Iterator<Item = Situation> {
    let all = REPORTED.into_iter().flat_map(|reported| {
        RESPONSIVENESS.into_iter().flat_map(move |responsiveness| {
            (0..1u32 << FLAGS).map(move |bits| {
                let flag = |place: u32| bits >> place & 1 == 1;
                Situation {
                    has_known_primary: flag(0),
                    reported,
                    responsiveness,
                    has_stepped_down: flag(1),
                    must_be_relieved: flag(2),
                    known_is_eligible: flag(3),
                    other_is_eligible: flag(4),
                    requested_is_eligible: flag(5),
                    proven: flag(6),
                    leases_released: flag(7),
                    first_election_due: flag(8),
                    may_promote: flag(9),
                    promotions_settled: flag(10),
                    reported_is_last_promoted: flag(11),
                }
            })
        })
    });
    all.filter(|situation| is_consistent(*situation))
}

/// Whether the facts of a situation don't contradict each other.
fn is_consistent(situation: Situation) -> bool {
    let about_known = situation.has_stepped_down
        || situation.known_is_eligible
        || situation.requested_is_eligible
        || situation.proven
        || matches!(situation.reported, ReportedPrimary::Known | ReportedPrimary::Outdated);
    let contradictions = [
        about_known && !situation.has_known_primary,
        situation.has_stepped_down && situation.reported == ReportedPrimary::Known,
        situation.must_be_relieved && situation.known_is_eligible,
        situation.requested_is_eligible && !situation.other_is_eligible,
    ];
    !contradictions.contains(&true)
}

/// Asserts something of the step in each situation that fulfils a condition.
fn assert_step(when: impl Fn(Situation) -> bool, holds: impl Fn(Situation, NextStep) -> bool, what: &str) {
    let mut count = 0;
    for situation in situations().filter(|situation| when(*situation)) {
        let step = situation.next_step();
        assert!(holds(situation, step), "{what}: {step:?} in {situation:?}");
        count += 1;
    }
    assert!(count > 0, "{what}: there is no such situation");
}

/// A group in which nobody leads and a server answers stayed as it was for good (review/4).
#[test]
fn a_group_in_which_nobody_leads_gets_a_primary_as_soon_as_a_server_may_lead() {
    assert_step(
        |s| {
            s.has_known_primary
                && s.has_stepped_down
                && matches!(s.reported, ReportedPrimary::Nobody | ReportedPrimary::Outdated)
                && s.responsiveness != Responsiveness::Silent
                && (s.known_is_eligible || s.other_is_eligible)
                && s.may_promote
        },
        |_, step| step == PromoteSuccessor,
        "nobody leads",
    );
}

#[test]
fn a_group_without_a_known_primary_adopts_or_elects_one() {
    assert_step(
        |s| !s.has_known_primary && s.reported == ReportedPrimary::Nobody && s.first_election_due,
        |s, step| (step == ElectFirst) == (s.leases_released && s.may_promote),
        "no primary is known",
    );
    assert_step(
        |s| s.reported == ReportedPrimary::Later && (s.promotions_settled || s.reported_is_last_promoted),
        |_, step| step == AdoptReported,
        "a later primary",
    );
}

/// Leases on a primary were granted while a promotion of another server could still be carried out; commits that were
/// acknowledged meanwhile would be missing there.
#[test]
fn no_primary_is_adopted_while_another_may_be_promoted() {
    assert_step(
        |s| s.reported == ReportedPrimary::Later && !s.promotions_settled && !s.reported_is_last_promoted,
        |s, step| step == if s.has_known_primary { Keep { grant_leases: false } } else { Wait },
        "a later primary beside an unsettled promotion",
    );
}

#[test]
fn a_silent_primary_is_replaced_whatever_else_is_asked_for() {
    assert_step(
        |s| s.has_known_primary && s.responsiveness == Responsiveness::Silent && s.reported != ReportedPrimary::Later,
        |_, step| step == FailOver,
        "the primary is silent",
    );
}

/// A primary that had to be replaced, and was not for lack of a successor or of the platform, got no leases any more.
#[test]
fn a_primary_that_leads_and_answers_has_leases_until_it_is_told_to_step_down() {
    assert_step(
        |s| s.reported == ReportedPrimary::Known && s.responsiveness == Responsiveness::Responding,
        |_, step| matches!(step, HandOver | Keep { grant_leases: true }),
        "the primary leads",
    );
}

#[test]
fn a_primary_that_must_be_relieved_hands_over_once_there_is_a_successor() {
    assert_step(
        |s| {
            s.reported == ReportedPrimary::Known
                && s.responsiveness != Responsiveness::Silent
                && s.may_promote
                && s.promotions_settled
                && (s.requested_is_eligible || s.must_be_relieved && s.other_is_eligible)
        },
        |_, step| step == HandOver,
        "the primary must be relieved",
    );
}

#[test]
fn no_leases_are_granted_on_a_server_that_does_not_lead() {
    assert_step(
        |s| s.has_stepped_down || s.reported == ReportedPrimary::Outdated,
        |_, step| step != Keep { grant_leases: true },
        "the known primary does not lead",
    );
}

/// Without a call to the platform no primary steps down and none is elected.
#[test]
fn nothing_is_begun_that_needs_the_platform_while_it_is_not_to_be_called() {
    assert_step(
        |s| !s.may_promote,
        |_, step| !matches!(step, HandOver | PromoteSuccessor | ElectFirst),
        "the platform is not to be called",
    );
}

/// A primary that was promoted once more after it had stepped down confirmed commits that its successor lacked.
#[test]
fn no_primary_steps_down_while_a_promotion_of_it_may_be_carried_out() {
    assert_step(|s| !s.promotions_settled, |_, step| step != HandOver, "promotions are not settled");
}

/// The table in docs/group-leadership.md names each step.
#[test]
fn the_documented_table_names_every_step() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/group-leadership.md");
    let page = std::fs::read_to_string(path).expect("docs/group-leadership.md");
    let mut steps: Vec<String> = situations()
        .map(|situation| match situation.next_step() {
            // The compiler asks for each new step here.
            Keep { grant_leases: true } => "Keep, with leases".into(),
            Keep { grant_leases: false } => "Keep, without leases".into(),
            step @ (Wait | AdoptReported | ElectFirst | FailOver | HandOver | PromoteSuccessor) => format!("{step:?}"),
        })
        .collect();
    steps.sort();
    steps.dedup();
    let rows: Vec<&str> = page.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next()).collect();
    for step in &steps {
        assert_eq!(rows.iter().filter(|row| *row == step).count(), 1, "rows of {step} in {rows:?}");
    }
    assert_eq!(rows.len(), steps.len(), "{rows:?}");
}
