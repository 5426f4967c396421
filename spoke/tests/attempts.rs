//! Which attempts a node remembers.

use base::http::HttpResponse;
use spoke::Attempts;

/// More attempts than a node remembers.
const MANY: usize = 6000;

fn make(sends: &Attempts, send: &str) -> bool {
    sends.claim(send, 1).is_none()
}

#[test]
fn an_attempt_under_way_is_not_forgotten_however_many_come_after_it() {
    let sends = Attempts::default();
    assert!(make(&sends, "first"));
    for i in 0..MANY {
        let name = format!("s{i}");
        assert!(make(&sends, &name), "{name} is new");
        sends.finish(&name, &HttpResponse::new(200, "{}"));
    }
    assert!(!make(&sends, "first"), "it is still under way, and must not be made a second time");
    sends.finish("first", &HttpResponse::new(200, "done"));
    assert_eq!(sends.claim("first", 1).map(|r| r.body), Some("done".into()));
}

#[test]
fn ended_attempts_are_forgotten_oldest_first() {
    let sends = Attempts::default();
    for i in 0..MANY {
        let name = format!("s{i}");
        assert!(make(&sends, &name));
        sends.finish(&name, &HttpResponse::new(200, "{}"));
    }
    assert!(!make(&sends, &format!("s{}", MANY - 1)), "the newest one is remembered");
    assert!(make(&sends, "s0"), "the oldest one is not");
}

#[test]
fn an_attempt_of_which_nothing_was_kept_may_be_made_again() {
    let sends = Attempts::default();
    assert!(make(&sends, "a"));
    sends.finish("a", &HttpResponse::new(503, "{}").with_header(base::edge::client::WRITE_OUTCOME_HEADER, "no"));
    assert!(make(&sends, "a"));
    assert!(!make(&sends, "a"), "under way again");
}
