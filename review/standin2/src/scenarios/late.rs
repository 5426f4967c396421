//! The platform is slow for some seconds: it handles each call 2 s after it came. Meanwhile the primary is dark for a
//! moment, and a new server of the service starts (the first step of a release). With TROUBLE=restart a suspended replica
//! crashes and is back after half a second, in place of the new server.

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::departed::run_writers;
use crate::{database::lock, deployment::Deployment};

pub fn play(deployment: &Arc<Deployment>, trouble: &str) -> Option<bool> {
    let record = &deployment.record;
    if !deployment.bring_up(3, "primary") {
        record.line("the deployment did not come up");
        return None;
    }
    run_writers(deployment);
    thread::sleep(Duration::from_secs(8));
    if lock(&deployment.service).acknowledged.len() < 50 {
        record.line("too few commits before the disruption");
        return None;
    }
    let start = Instant::now();
    let at = |seconds: f64| {
        thread::sleep((start + Duration::from_secs_f64(seconds)).saturating_duration_since(Instant::now()))
    };
    let restart = trouble == "restart";
    let both = trouble == "1" || restart;
    let (slow, dark) = (both || trouble == "slow", both || trouble == "dark");
    if slow {
        lock(&deployment.service).platform_delay = Duration::from_secs(2);
        record.line("the platform is slow: it handles each call 2 s after it came");
    }
    at(0.5);
    if dark {
        lock(&deployment.service).servers.get_mut("i-1")?.dark = true;
        record.line("the primary i-1 is dark");
    }
    at(2.3);
    if dark {
        let mut service = lock(&deployment.service);
        let server = service.servers.get_mut("i-1")?;
        (server.dark, server.run) = (false, server.run + 1);
        record.line("the primary i-1 is back, with its log");
    }
    at(2.8);
    if restart {
        record.line("the replica i-2 crashes");
        lock(&deployment.service).servers.get_mut("i-2")?.dark = true;
        at(3.3);
        let mut service = lock(&deployment.service);
        let server = service.servers.get_mut("i-2")?;
        (server.dark, server.run, server.suspended) = (false, server.run + 1, 0);
        record.line("the replica i-2 is back, with its log; its restart ended the suspension");
    } else {
        record.line("release: i-4 starts, to replace i-3");
        deployment.add_server(4, "zone-c");
    }
    at(9.0);
    lock(&deployment.service).platform_delay = Duration::ZERO;
    record.line("the platform answers at once again");
    at(16.0);
    let service = lock(&deployment.service);
    let lost: BTreeSet<&String> = service.promotions.iter().flat_map(|(_, missing)| missing).collect();
    record.line(format!(
        "{} commits acknowledged, {} promotions, {} acknowledged commits missing in a promoted server's log: {:?}",
        service.acknowledged.len(),
        service.promotions.len(),
        lost.len(),
        lost
    ));
    Some(lost.is_empty())
}
