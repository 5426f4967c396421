//! Deltas between images: applied to its base, a delta results in exactly the newer image; applied to another image, it
//! results in the newer image or is rejected.

use bolero::check;
use wire::{Election, Image, ImageDelta, Message, Route};

/// An image with a route for each pair: the first byte gives its name, the second its statement timeout.
fn image(rows: &[(u8, u8)], sequence: u64) -> Image {
    let mut routes: Vec<Route> = Vec::new();
    for (name, limit) in rows {
        let name = format!("d{name}");
        if routes.iter().all(|r| r.name != name) {
            routes.push(Route { name, statement_ms: u64::from(*limit), ..Route::default() });
        }
    }
    let elections = vec![Election { group: "g".into(), epoch: sequence, ..Election::default() }];
    Image { sequence, routes: routes.into(), elections, note: format!("set {sequence}"), ..Image::default() }
}

#[test]
fn a_delta_between_any_two_images_leads_to_the_newer_one() {
    check!().with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>, u8)>().for_each(|(old, new, sequence)| {
        let (old, new) = (image(old, 1), image(new, u64::from(*sequence)));
        let encoded = old.delta_to(&new).encode_to_vec();
        let delta = ImageDelta::decode(&encoded[..]).expect("a delta");
        assert_eq!(old.apply(&delta), Some(new));
    });
}

#[test]
fn a_delta_onto_another_base_leads_to_the_newer_image_or_to_nothing() {
    check!().with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>, Vec<(u8, u8)>)>().for_each(|(old, other, new)| {
        let (old, other, new) = (image(old, 1), image(other, 2), image(new, 3));
        let delta = old.delta_to(&new);
        assert!(other.apply(&delta).is_none_or(|result| result == new));
    });
}

#[test]
fn any_bytes_are_no_delta_or_lead_to_nothing_wrong() {
    check!().with_type::<(Vec<u8>, Vec<(u8, u8)>)>().for_each(|(bytes, old)| {
        let old = image(old, 1);
        if let Ok(delta) = ImageDelta::decode(&bytes[..]) {
            let _ = old.apply(&delta);
        }
    });
}

/// When one route of thousands changes, the size of the delta must not grow with the number of routes.
#[test]
fn a_small_change_of_a_large_image_is_small() {
    let image_with_routes = |count: usize| -> Image {
        let route = |n| Route { name: format!("d{n}"), note: "n".repeat(200), ..Route::default() };
        Image { sequence: 1, routes: (0..count).map(route).collect(), ..Image::default() }
    };
    let size = |count: usize| {
        let old = image_with_routes(count);
        let mut new = old.clone();
        new.routes[count / 2].statement_ms = 7;
        old.delta_to(&new).encoded_len()
    };
    let (few, many) = (size(40), size(4000));
    assert!(many < few + 16, "{few} bytes among 40 routes, {many} among 4000");
}

/// A change that leaves the routes alone shares them, at the leader and where its delta is applied.
#[test]
fn routes_that_do_not_change_are_shared() {
    let routes = (0..50).map(|i| Route { name: format!("db{i}"), ..Route::default() });
    let old = Image { routes: routes.collect(), ..Image::default() };
    let mut new = old.clone();
    new.elections.push(Election { group: "g".into(), epoch: 2, ..Election::default() });
    assert!(new.routes.is_same(&old.routes));
    let applied = old.apply(&old.delta_to(&new)).expect("the delta was made for this base");
    assert!(applied == new && applied.routes.is_same(&old.routes));
    let part = wire::snapshot::image_for_nodes(&old);
    let next = wire::snapshot::image_for_nodes_after(&new, (&old, &part));
    assert!(next == wire::snapshot::image_for_nodes(&new) && next.routes.is_same(&part.routes));
}
