//! Which attempts a node remembers, and for how long.

use base::http::HttpResponse;
use spoke::Attempts;

/// More attempts than a node remembers.
const MANY: usize = 6000;

/// Claims the attempt; returns whether it may be executed.
fn claim(attempts: &Attempts, attempt_id: &str) -> bool {
    attempts.claim(attempt_id, 1).is_none()
}

#[test]
fn an_attempt_under_way_is_not_forgotten_however_many_come_after_it() {
    let attempts = Attempts::default();
    assert!(claim(&attempts, "first"));
    for i in 0..MANY {
        let name = format!("s{i}");
        assert!(claim(&attempts, &name), "{name} is new");
        attempts.finish(&name, &HttpResponse::new(200, "{}"));
    }
    assert!(!claim(&attempts, "first"), "it is still under way, and must not be made a second time");
    attempts.finish("first", &HttpResponse::new(200, "done"));
    assert_eq!(attempts.claim("first", 1).map(|r| r.body), Some("done".into()));
}

#[test]
fn ended_attempts_are_forgotten_oldest_first() {
    let attempts = Attempts::default();
    for i in 0..MANY {
        let name = format!("s{i}");
        assert!(claim(&attempts, &name));
        attempts.finish(&name, &HttpResponse::new(200, "{}"));
    }
    assert!(!claim(&attempts, &format!("s{}", MANY - 1)), "the newest one is remembered");
    assert!(claim(&attempts, "s0"), "the oldest one is not");
}

#[test]
fn an_attempt_of_which_nothing_was_kept_may_be_made_again() {
    let attempts = Attempts::default();
    assert!(claim(&attempts, "a"));
    attempts.finish("a", &HttpResponse::new(503, "{}").with_header(base::edge::client::WRITE_OUTCOME_HEADER, "no"));
    assert!(claim(&attempts, "a"));
    assert!(!claim(&attempts, "a"), "under way again");
}
