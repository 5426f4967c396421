//! Changes of the image: a delta between any two images leads to exactly the newer one, and to nothing from another base.

use bolero::check;
use wire::{Election, Image, ImageDelta, Message, Route};

/// An image whose doorways are named by the bytes, with a field that differs by the other byte.
fn image(rows: &[(u8, u8)], sequence: u64) -> Image {
    let mut doorways: Vec<Route> = Vec::new();
    for (name, limit) in rows {
        let name = format!("d{name}");
        if doorways.iter().all(|d| d.name != name) {
            doorways.push(Route { name, statement_ms: u64::from(*limit), ..Route::default() });
        }
    }
    let elects = vec![Election { group: "g".into(), epoch: sequence, ..Election::default() }];
    Image { sequence, routes: doorways, elections: elects, note: format!("set {sequence}"), ..Image::default() }
}

#[test]
fn a_delta_between_any_two_images_leads_to_the_newer_one() {
    check!().with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>, u8)>().for_each(|(old, new, sequence)| {
        let (old, new) = (image(old, 1), image(new, u64::from(*sequence)));
        let sent = old.delta_to(&new).encode_to_vec();
        let delta = ImageDelta::decode(&sent[..]).expect("a delta");
        assert_eq!(old.apply(&delta), Some(new));
    });
}

#[test]
fn a_delta_onto_another_base_leads_to_the_newer_image_or_to_nothing() {
    check!().with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>, Vec<(u8, u8)>)>().for_each(|(old, other, new)| {
        let (old, other, new) = (image(old, 1), image(other, 2), image(new, 3));
        let delta = old.delta_to(&new);
        assert!(other.apply(&delta).is_none_or(|made| made == new));
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

/// One doorway of thousands changes: what is sent does not grow with the others.
#[test]
fn a_small_change_of_a_large_image_is_small() {
    let rows = |count: usize| -> Image {
        let doorway = |n| Route { name: format!("d{n}"), note: "n".repeat(200), ..Route::default() };
        Image { sequence: 1, routes: (0..count).map(doorway).collect(), ..Image::default() }
    };
    let size = |count: usize| {
        let old = rows(count);
        let mut new = old.clone();
        new.routes[count / 2].statement_ms = 7;
        old.delta_to(&new).encoded_len()
    };
    let (few, many) = (size(40), size(4000));
    assert!(many < few + 16, "{few} bytes among 40 doorways, {many} among 4000");
}
