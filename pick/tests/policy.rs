//! The selection policy: eligibility, the history of decisions, windowed metrics, weights and the choice of a server.

use std::time::Duration;

use bolero::check;
use pick::{Candidate, EligibleSet, Metrics, Outcome, Policy, Reason, Window, adjust_weights, choose};

const MAX_AGE: Duration = Duration::from_secs(3600);

fn candidate(name: &str, fallback: bool, error_rate: f64, lag: u64) -> Candidate {
    Candidate { name: name.into(), fallback, metrics: Metrics { error_rate, lag, ..Metrics::default() } }
}

fn eligible(candidates: &[Candidate]) -> Vec<&str> {
    let verdicts = Policy::default().evaluate(candidates).unwrap();
    candidates.iter().zip(verdicts).filter(|(_, verdict)| verdict.0).map(|(c, _)| c.name.as_str()).collect()
}

#[test]
fn the_healthy_are_in_and_the_fallback_group_is_not() {
    let candidates = [
        candidate("a", false, 0.0, 0),
        candidate("b", false, 0.7, 0),
        candidate("c", false, 0.0, 10),
        candidate("d", true, 0.0, 0),
    ];
    assert_eq!(eligible(&candidates), ["a"]);
}

#[test]
fn too_few_healthy_brings_back_all_with_the_fallback_group() {
    let candidates = [candidate("a", false, 0.9, 0), candidate("b", false, 0.0, 99), candidate("d", true, 0.0, 0)];
    assert_eq!(eligible(&candidates), ["a", "b", "d"]);
    assert!(eligible(&[]).is_empty());
}

#[test]
fn the_eligible_set_is_kept_between_evaluations_and_after_a_failed_one() {
    let mut set = EligibleSet::default();
    assert!(set.contains("a") && set.contains("b"), "before any decision all are eligible");
    let valid = [candidate("a", false, 0.0, 0), candidate("b", false, 0.9, 0)];
    set.evaluate(Duration::ZERO, MAX_AGE, &Policy::default(), &valid).unwrap();
    assert!(set.contains("a") && !set.contains("b"));
    let mut invalid = valid.clone();
    invalid[0].metrics.error_rate = f64::NAN;
    let error = set.evaluate(Duration::from_secs(60), MAX_AGE, &Policy::default(), &invalid).unwrap_err();
    assert_eq!((error.server.as_str(), error.field), ("a", "error_rate"));
    assert!(set.contains("a") && !set.contains("b"), "the last set is kept");
    let last = set.history().last().unwrap();
    assert!(last.error.is_some() && last.servers.len() == 2);
}

#[test]
fn the_history_is_bounded_by_time_and_count() {
    let mut set = EligibleSet::default();
    for i in 0..10_000u64 {
        set.evaluate(Duration::from_millis(i), MAX_AGE, &Policy::default(), &[candidate("a", false, 0.0, 0)]).unwrap();
    }
    assert_eq!(set.history().count(), 4096);
    set.evaluate(MAX_AGE * 2, MAX_AGE, &Policy::default(), &[candidate("a", false, 0.0, 0)]).unwrap();
    assert_eq!(set.history().count(), 1);
}

#[test]
fn the_window_drops_old_outcomes_and_the_totals_do_not() {
    let mut window = Window::new(Duration::from_secs(60));
    let ms = Duration::from_millis;
    for i in 0..100u64 {
        window.record(ms(i), Outcome::Success, ms(i + 1));
    }
    window.record(ms(100), Outcome::Error, ms(1));
    window.record(ms(100), Outcome::Throttled, ms(1));
    let metrics = window.metrics(ms(200), 3);
    assert_eq!((metrics.errors_total, metrics.requests_total, metrics.lag), (1, 102, 3));
    for (actual, expected) in [(metrics.p90, 0.090), (metrics.p95, 0.095), (metrics.p99, 0.099)] {
        assert!((expected..expected * 1.25).contains(&actual), "{actual} for {expected}");
    }
    let later = window.metrics(Duration::from_secs(90), 0);
    assert_eq!((later.error_rate, later.p90, later.errors_total), (0.0, 0.0, 1));
}

/// The error rate is the higher one of probes and statements: a server that answers all probes and fails all statements
/// has an error rate of 1, and so has one that answers no probe.
#[test]
fn probes_do_not_hide_failing_statements() {
    let mut window = Window::new(Duration::from_secs(60));
    let time = Duration::from_millis(5);
    (0..90).for_each(|_| window.record(time, Outcome::Probe, Duration::ZERO));
    (0..10).for_each(|_| window.record(time, Outcome::Error, time));
    assert_eq!(window.metrics(time, 0).error_rate, 1.0);
    let mut window = Window::new(Duration::from_secs(60));
    (0..90).for_each(|_| window.record(time, Outcome::Success, time));
    (0..10).for_each(|_| window.record(time, Outcome::ProbeFailed, Duration::ZERO));
    assert_eq!(window.metrics(time, 0).error_rate, 1.0);
}

#[test]
fn weights_stay_inside_their_bounds_and_follow_coldness() {
    let fast = Metrics { p90: 0.010, ..Metrics::default() };
    let slow = Metrics { p90: 1.0, ..Metrics::default() };
    let mut weights = Default::default();
    for _ in 0..20 {
        weights = adjust_weights(&weights, [("a", fast, 0.0), ("b", slow, 0.0), ("c", fast, 1.0)].into_iter());
    }
    assert!(weights["a"] > 0.99 && weights["b"] < 0.13 && weights["c"] < 0.13, "{weights:?}");
    let candidates = [(weights["a"], 0.0), (weights["b"], 0.0)];
    let picks =
        (0..1000).filter(|i| choose(&candidates, (f64::from(*i) / 1000.0, f64::from(*i) / 1000.0)) == Some(0)).count();
    assert!((850..900).contains(&picks), "{picks}");
    assert_eq!(choose(&[(1.0, 0.9), (1.0, 0.1)], (0.1, 0.9)), Some(1), "of two the one with the lower load");
    assert_eq!(choose(&[], (0.5, 0.5)), None);
}

/// For any metrics an evaluation either fails, or makes at least one of the given servers eligible and has a reason for
/// each.
#[test]
fn any_metrics_give_a_set_or_a_fault() {
    check!().with_type::<Vec<(bool, f64, u64, f64)>>().with_iterations(20_000).for_each(|inputs| {
        let candidates: Vec<Candidate> = inputs
            .iter()
            .enumerate()
            .map(|(i, (fallback, rate, lag, p90))| Candidate {
                name: format!("s{i}"),
                fallback: *fallback,
                metrics: Metrics { error_rate: *rate, lag: *lag, p90: *p90, ..Metrics::default() },
            })
            .collect();
        let Ok(verdicts) = Policy::default().evaluate(&candidates) else {
            assert!(candidates.iter().any(|c| !c.metrics.error_rate.is_finite() || !c.metrics.p90.is_finite()));
            return;
        };
        assert_eq!(verdicts.len(), candidates.len());
        assert!(candidates.is_empty() || verdicts.iter().any(|v| v.0));
        let too_few = verdicts.iter().any(|v| v.1 == Reason::TooFewHealthy);
        assert!(!too_few || verdicts.iter().all(|v| v.0));
    });
}
