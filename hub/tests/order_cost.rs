//! What an order costs the leading control node must grow with the order, not with the order times the configuration: a
//! control node with a tenth of a core that computes for half a second loses the lead, and the order begins anew.

use std::time::{Duration, Instant};

use base::edge::operator::{ConfigurationChange, Route};
use hub::operator::apply::RequestedConfiguration;
use wire::Image;

/// The shortest of this many runs is taken, so that a busy machine does not count.
const RUNS: usize = 100;
/// Short enough to run between two preemptions.
const FEW_ROUTES: usize = 100;
const MANY_ROUTES: usize = 2000;

fn image(routes: usize) -> Image {
    let route = |i: usize| wire::Route { name: format!("old{i}"), tag: format!("r-old{i}"), ..Default::default() };
    Image { routes: (0..routes).map(route).collect(), ..Image::default() }
}

/// A change that replaces and adds `routes` routes, and drops as many.
fn change(routes: usize) -> ConfigurationChange {
    let route =
        |i: usize| Route { tag: format!("r-old{i}"), ..Route::with_defaults(&format!("new{i}"), "g", "leader") };
    ConfigurationChange {
        put: (0..routes).map(route).collect(),
        drop: (0..routes).map(|i| format!("r-old{}", routes + i)).collect(),
        number: Some(2),
        ..ConfigurationChange::based_on(1)
    }
}

/// The shortest time in which a change of this many routes is applied to a configuration of four times as many.
fn time(routes: usize) -> Duration {
    let (image, change) = (image(routes * 4), change(routes));
    let run = |_| {
        let start = Instant::now();
        let requested = RequestedConfiguration::from_change(&image, &change);
        assert!(requested.is_ok_and(|requested| requested.route_count() == routes * 3));
        start.elapsed()
    };
    (0..RUNS).map(run).min().unwrap_or_default()
}

/// Each route of a change was searched in the whole list.
#[test]
fn a_change_of_many_routes_costs_in_proportion() {
    let (few, many) = (time(FEW_ROUTES), time(MANY_ROUTES));
    let limit = few * (MANY_ROUTES / FEW_ROUTES) as u32 * 3;
    assert!(many < limit, "{few:?} for {FEW_ROUTES} routes, {many:?} for {MANY_ROUTES}, at most {limit:?}");
    println!("{few:?} for {FEW_ROUTES} routes, {many:?} for {MANY_ROUTES}");
}
