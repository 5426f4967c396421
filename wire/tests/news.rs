//! News as deltas: a delta leads to exactly the state that was published, and nothing that happens to deltas on their way
//! yields any other state.

use std::rc::Rc;

use bolero::check;
use wire::{
    Doorway, Elect, Group, Image, Limits, Log, Mark, News, NewsDelta, Node, Server, Snapshot, Taken, news::Refusal,
};

/// One change of a state, drawn from three bytes: what is changed, its name, and what it becomes.
fn change(news: &mut News, [kind, name, value]: [u8; 3]) {
    let image = news.image.as_mut().expect("an image");
    let (name, value) = (format!("x{}", name % 12), u64::from(value));
    // A third of the changes take something away.
    let gone = value % 3 == 0;
    macro_rules! set {
        ($list:expr, $field:ident, $new:expr) => {{
            $list.retain(|item| item.$field != name);
            if !gone {
                $list.push($new);
            }
        }};
    }
    match kind % 9 {
        0 => set!(image.doorways, name, Doorway { name: name.clone(), fresh_ms: value, ..Doorway::default() }),
        1 => set!(image.groups, name, Group { name: name.clone(), cap: value, ..Group::default() }),
        2 => set!(image.elects, group, Elect { group: name.clone(), line: value, ..Elect::default() }),
        3 => set!(image.logs, server, Log { server: name.clone(), born: value, ..Log::default() }),
        4 => set!(news.servers, name, Server { name: name.clone(), turn: value, ..Server::default() }),
        5 => set!(news.nodes, name, Node { name: name.clone(), depth: value as u32, ..Node::default() }),
        6 if gone => image.emptied.retain(|zone| *zone != name),
        6 if !image.emptied.contains(&name) => image.emptied.push(name),
        7 => image.limits = (!gone).then_some(Limits { statement_ms: value, idle_ms: 7 }),
        _ => image.sequence += value,
    }
}

fn start() -> News {
    News { mark: Some(Mark { term: 1, count: 1 }), image: Some(Image::default()), ..News::default() }
}

/// The snapshots that a run of changes publishes; every eighth byte triple begins a new term.
fn published(changes: &[[u8; 3]]) -> Vec<Snapshot> {
    let mut news = start();
    let mut all = vec![Snapshot::from_news(news.clone()).expect("whole news")];
    for chunk in changes.chunks(3) {
        chunk.iter().for_each(|c| change(&mut news, *c));
        let mark = news.mark.as_mut().expect("a mark");
        match chunk[0][0] % 8 {
            0 => *mark = Mark { term: mark.term + 1, count: 1 },
            _ => mark.count += 1,
        }
        all.push(Snapshot::from_news(news.clone()).expect("whole news"));
    }
    all
}

fn deltas(all: &[Snapshot]) -> Vec<NewsDelta> {
    all.windows(2).map(|pair| pair[0].delta_to(&pair[1])).collect()
}

#[test]
fn a_delta_between_any_two_states_leads_to_the_newer_one() {
    check!().with_type::<Vec<[u8; 3]>>().with_iterations(2_000).for_each(|changes| {
        let all = published(changes);
        for (i, old) in all.iter().enumerate() {
            for new in &all[i + 1..] {
                assert_eq!(old.apply(&old.delta_to(new)).as_ref(), Ok(new));
            }
        }
    });
}

/// A holder that takes deltas as they come, in any order, some twice and some never, and the whole where one does not fit.
#[test]
fn lost_doubled_and_reordered_deltas_yield_only_published_states_and_in_the_end_the_newest() {
    check!().with_type::<(Vec<[u8; 3]>, Vec<u8>)>().with_iterations(2_000).for_each(|(changes, order)| {
        let all = published(changes);
        let deltas = deltas(&all);
        let newest = all.last().expect("a first state");
        let mut held = all[0].clone();
        let last = deltas.len().checked_sub(1);
        let picked = order.iter().filter(|_| !deltas.is_empty()).map(|at| usize::from(*at) % deltas.len());
        for (step, at) in picked.chain(last).enumerate() {
            let before = held.mark;
            match held.apply(&deltas[at]) {
                Ok(new) => held = new,
                Err(Refusal::Old) => {}
                // A parent gives its newest; the last request finds the newest of all.
                Err(Refusal::Gap) if step == order.len() => held = newest.clone(),
                Err(Refusal::Gap) => {
                    let whole = Snapshot::from_news(all[at + 1].to_news()).expect("whole news");
                    assert_eq!(whole, all[at + 1]);
                    held = whole;
                }
                Err(Refusal::Digest) => panic!("a delta that fits leads to another state"),
            }
            assert!(held.mark >= before, "went back from {before:?} to {:?}", held.mark);
            assert!(all.contains(&held), "{held:?} was never published");
        }
        assert_eq!(held, *newest);
    });
}

/// What the guards are for: a delta that claims to fit another state is told by its digest, and would else yield a state
/// that nobody published.
#[test]
fn a_delta_forced_onto_another_state_is_told_by_its_digest() {
    let all = published(&[[0, 1, 1], [0, 2, 2], [0, 3, 4], [0, 5, 5], [0, 6, 7], [0, 7, 8]]);
    let mut forced = all[1].delta_to(&all[2]);
    forced.from = Some(all[0].mark);
    assert_eq!(all[0].apply(&forced), Err(Refusal::Digest));
    // With the digest forged too the guard is off, and the result is none of those published.
    let mut mixed = all[0].to_news();
    mixed.mark = forced.mark;
    let image = mixed.image.as_mut().expect("an image");
    image.doorways.extend(forced.doorways.clone());
    image.sequence = forced.sequence;
    forced.digest = Snapshot::from_news(mixed).expect("whole news").digest();
    let wrong = all[0].apply(&forced).expect("no guard is left");
    assert!(!all.contains(&wrong));
}

#[test]
fn a_delta_never_leads_back_nor_over_a_gap() {
    let all = published(&[[0, 1, 1], [0, 2, 2], [0, 3, 4], [0, 1, 5], [0, 2, 7], [0, 3, 8]]);
    let delta = all[0].delta_to(&all[1]);
    assert_eq!(all[1].apply(&delta), Err(Refusal::Old));
    assert_eq!(all[2].apply(&delta), Err(Refusal::Old));
    assert_eq!(all[0].apply(&all[1].delta_to(&all[2])), Err(Refusal::Gap));
    // A newer term is newer whatever its count, and its delta still applies onto the exact state only.
    let mut later = all[1].clone();
    later.mark = Mark { term: all[2].mark.term + 1, count: 1 };
    assert_eq!(all[2].apply(&all[1].delta_to(&later)), Err(Refusal::Gap));
    assert_eq!(all[2].apply(&all[2].delta_to(&later)).map(|new| new.mark), Ok(later.mark));
}

#[test]
fn nodes_are_not_sent_what_only_control_nodes_need() {
    let mut news = start();
    let image = news.image.as_mut().expect("an image");
    image.taken.push(Taken { number: 1, sum: 2 });
    image.members.push(Default::default());
    image.spots.push(Default::default());
    image.note = "the operators' own".into();
    image.doorways.push(Doorway { name: "a".into(), note: "long".into(), ..Doorway::default() });
    let sent = Snapshot::from_news(news).expect("whole news").to_news().image.expect("an image");
    assert!(sent.taken.is_empty() && sent.members.is_empty() && sent.spots.is_empty() && sent.note.is_empty());
    assert_eq!(sent.doorways, [Doorway { name: "a".into(), ..Doorway::default() }]);
}

#[test]
fn a_server_of_which_only_the_count_of_reports_rose_is_not_told_again() {
    let mut news = start();
    news.servers.push(Server { name: "s".into(), turn: 1, ..Server::default() });
    let old = Snapshot::from_news(news.clone()).expect("whole news");
    news.mark = Some(Mark { term: 1, count: 2 });
    news.servers[0].turn = 9;
    let mut new = Snapshot::from_news(news.clone()).expect("whole news");
    new.keep_unchanged(&old);
    assert!(old.delta_to(&new).servers.is_empty());
    assert!(Rc::ptr_eq(&old.image, &new.image));
    news.servers[0].draining = true;
    let mut new = Snapshot::from_news(news).expect("whole news");
    new.keep_unchanged(&old);
    assert_eq!(old.delta_to(&new).servers, new.servers);
}
