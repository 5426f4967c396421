//! What must stay of the selection design.

use std::time::Duration;

use bolero::check;
use pick::{Candidate, EligibleSet, Metrics, Outcome, Policy, Reason, Window, adjust_weights, choose};

const KEEP: Duration = Duration::from_secs(3600);

fn row(name: &str, fallback: bool, error_rate: f64, lag: u64) -> Candidate {
    Candidate { name: name.into(), fallback, metrics: Metrics { error_rate, lag, ..Metrics::default() } }
}

fn eligible(rows: &[Candidate]) -> Vec<&str> {
    let out = Policy::default().evaluate(rows).unwrap();
    rows.iter().zip(out).filter(|(_, o)| o.0).map(|(r, _)| r.name.as_str()).collect()
}

#[test]
fn the_healthy_are_in_and_the_fallback_group_is_not() {
    let rows = [row("a", false, 0.0, 0), row("b", false, 0.7, 0), row("c", false, 0.0, 10), row("d", true, 0.0, 0)];
    assert_eq!(eligible(&rows), ["a"]);
}

#[test]
fn too_few_healthy_brings_back_all_with_the_fallback_group() {
    let rows = [row("a", false, 0.9, 0), row("b", false, 0.0, 99), row("d", true, 0.0, 0)];
    assert_eq!(eligible(&rows), ["a", "b", "d"]);
    assert!(eligible(&[]).is_empty());
}

#[test]
fn the_list_holds_between_runs_and_through_a_failing_one() {
    let mut s = EligibleSet::default();
    assert!(s.contains("a") && s.contains("b"), "before any decision all are in");
    let good = [row("a", false, 0.0, 0), row("b", false, 0.9, 0)];
    s.evaluate(Duration::ZERO, KEEP, &Policy::default(), &good).unwrap();
    assert!(s.contains("a") && !s.contains("b"));
    let mut torn = good.clone();
    torn[0].metrics.error_rate = f64::NAN;
    let fault = s.evaluate(Duration::from_secs(60), KEEP, &Policy::default(), &torn).unwrap_err();
    assert_eq!((fault.server.as_str(), fault.field), ("a", "error_rate"));
    assert!(s.contains("a") && !s.contains("b"), "the last set stays");
    let last = s.ring().last().unwrap();
    assert!(last.error.is_some() && last.servers.len() == 2);
}

#[test]
fn the_ring_is_bounded_by_time_and_count() {
    let mut s = EligibleSet::default();
    for i in 0..10_000u64 {
        s.evaluate(Duration::from_millis(i), KEEP, &Policy::default(), &[row("a", false, 0.0, 0)]).unwrap();
    }
    assert_eq!(s.ring().count(), 4096);
    s.evaluate(KEEP * 2, KEEP, &Policy::default(), &[row("a", false, 0.0, 0)]).unwrap();
    assert_eq!(s.ring().count(), 1);
}

#[test]
fn the_window_forgets_and_the_totals_do_not() {
    let mut w = Window::new(Duration::from_secs(60));
    let ms = Duration::from_millis;
    for i in 0..100u64 {
        w.record(ms(i), Outcome::Good, ms(i + 1));
    }
    w.record(ms(100), Outcome::Error, ms(1));
    w.record(ms(100), Outcome::Throttled, ms(1));
    let m = w.metrics(ms(200), 3);
    assert_eq!((m.errors_total, m.requests_total, m.lag), (1, 102, 3));
    for (got, want) in [(m.p90, 0.090), (m.p95, 0.095), (m.p99, 0.099)] {
        assert!((want..want * 1.25).contains(&got), "{got} for {want}");
    }
    let late = w.metrics(Duration::from_secs(90), 0);
    assert_eq!((late.error_rate, late.p90, late.errors_total), (0.0, 0.0, 1));
}

/// A server that answers every reading and fails every statement is as bad as its statements.
#[test]
fn readings_do_not_hide_failing_statements() {
    let mut w = Window::new(Duration::from_secs(60));
    let t = Duration::from_millis(5);
    (0..90).for_each(|_| w.record(t, Outcome::Probe, Duration::ZERO));
    (0..10).for_each(|_| w.record(t, Outcome::Error, t));
    assert_eq!(w.metrics(t, 0).error_rate, 1.0);
    let mut w = Window::new(Duration::from_secs(60));
    (0..90).for_each(|_| w.record(t, Outcome::Good, t));
    (0..10).for_each(|_| w.record(t, Outcome::Missed, Duration::ZERO));
    assert_eq!(w.metrics(t, 0).error_rate, 1.0);
}

#[test]
fn weights_stay_inside_their_bounds_and_follow_coldness() {
    let fast = Metrics { p90: 0.010, ..Metrics::default() };
    let slow = Metrics { p90: 1.0, ..Metrics::default() };
    let mut w = Default::default();
    for _ in 0..20 {
        w = adjust_weights(&w, [("a", fast, 0.0), ("b", slow, 0.0), ("c", fast, 1.0)].into_iter());
    }
    assert!(w["a"] > 0.99 && w["b"] < 0.13 && w["c"] < 0.13, "{w:?}");
    let rows = [(w["a"], 0.0), (w["b"], 0.0)];
    let picks =
        (0..1000).filter(|i| choose(&rows, (f64::from(*i) / 1000.0, f64::from(*i) / 1000.0)) == Some(0)).count();
    assert!((850..900).contains(&picks), "{picks}");
    assert_eq!(choose(&[(1.0, 0.9), (1.0, 0.1)], (0.1, 0.9)), Some(1), "of two the less loaded");
    assert_eq!(choose(&[], (0.5, 0.5)), None);
}

/// Whatever is measured, a policy either fails or returns a non-empty part of what it was given, with a reason each.
#[test]
fn any_metrics_give_a_set_or_a_fault() {
    check!().with_type::<Vec<(bool, f64, u64, f64)>>().with_iterations(20_000).for_each(|list| {
        let rows: Vec<Candidate> = list
            .iter()
            .enumerate()
            .map(|(i, (fallback, rate, lag, p90))| Candidate {
                name: format!("s{i}"),
                fallback: *fallback,
                metrics: Metrics { error_rate: *rate, lag: *lag, p90: *p90, ..Metrics::default() },
            })
            .collect();
        let Ok(out) = Policy::default().evaluate(&rows) else {
            assert!(rows.iter().any(|r| !r.metrics.error_rate.is_finite() || !r.metrics.p90.is_finite()));
            return;
        };
        assert_eq!(out.len(), rows.len());
        assert!(rows.is_empty() || out.iter().any(|o| o.0));
        let few = out.iter().any(|o| o.1 == Reason::TooFew);
        assert!(!few || out.iter().all(|o| o.0));
    });
}
