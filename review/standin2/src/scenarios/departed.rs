//! A replica says that it leaves (DELETE) and serves on. It is then cut off from the core for some seconds (`srv_cut`),
//! still reaches the primary and goes on confirming commits. Meanwhile the other replica receives nothing, and the primary
//! crashes (`replica_lag`, `deaf crash`).

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Session,
    database::{Shared, lock},
    deployment::{Deployment, Machine},
    record::Record,
};

fn run_writer(service: Shared, record: Record, ip: String, writer: usize) {
    thread::spawn(move || {
        let mut count = 0;
        let mut session = None;
        loop {
            if lock(&service).stop {
                return;
            }
            let Some(open) = session.as_mut() else {
                session = Session::open(&ip);
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            count += 1;
            let id = format!("w{writer}n{count}");
            let answer = open.query(&id, &format!("STORE t{writer} v{count}"));
            match answer {
                Some(answer) => {
                    if answer.result.is_ok() {
                        lock(&service).acknowledged.push((id.clone(), Instant::now()));
                    }
                    record.detail(format!("client {writer}: {id} -> {:?} {}", answer.result, answer.idle));
                }
                None => {
                    record.detail(format!("client {writer}: {id} -> no answer"));
                    session = None;
                }
            }
            thread::sleep(Duration::from_millis(40));
        }
    });
}

/// Runs a client that writes at each machine outside the core.
pub fn run_writers(deployment: &Arc<Deployment>) {
    let spokes: Vec<&Machine> = deployment.machines.iter().filter(|m| !m.core).collect();
    for (writer, machine) in spokes.iter().enumerate() {
        run_writer(deployment.service.clone(), deployment.record.clone(), machine.ip.clone(), writer + 1);
    }
}

pub fn play(deployment: &Arc<Deployment>, trouble: &str) -> Option<bool> {
    let record = &deployment.record;
    // i-1 is the primary, i-2 the replica that stays, i-3 the one that leaves.
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
    let change = |text: &str, change: &dyn Fn(&mut crate::database::Service)| {
        change(&mut lock(&deployment.service));
        record.line(text);
    };
    change("i-3 deregisters; it serves on for 9 s", &|service| {
        service.servers.get_mut("i-3").unwrap().deregistered = true;
    });
    deployment.order("DELETE", "/api/instances/i-3", "", "", Duration::from_secs(5))?;
    let left = Instant::now();
    let at = |seconds: f64| {
        thread::sleep((left + Duration::from_secs_f64(seconds)).saturating_duration_since(Instant::now()))
    };
    let (cut, lag) = (trouble == "1" || trouble == "cut", trouble == "1" || trouble == "lag");
    // The variant without a cut: the leaving server itself is dark for 2.3 s, and goes on.
    let dark = trouble == "dark";
    let lag = lag || dark;
    at(0.3);
    if dark {
        change("srv_crash: i-3 is dark", &|s| s.servers.get_mut("i-3").unwrap().dark = true);
        at(2.6);
        change("i-3 is back, with its log", &|s| {
            let server = s.servers.get_mut("i-3").unwrap();
            (server.dark, server.run) = (false, server.run + 1);
        });
    }
    if cut {
        change("srv_cut: i-3 is cut off from the core", &|s| s.servers.get_mut("i-3").unwrap().cut_from_core = true);
    }
    at(2.9);
    if lag {
        change("replica_lag: i-2 receives nothing", &|s| s.servers.get_mut("i-2").unwrap().deaf = true);
    }
    at(4.4);
    if lag {
        change("the primary i-1 crashes and is dark", &|s| s.servers.get_mut("i-1").unwrap().dark = true);
    }
    at(5.3);
    if cut {
        change("the cut of i-3 has healed", &|s| s.servers.get_mut("i-3").unwrap().cut_from_core = false);
    }
    at(8.9);
    change("i-2 receives again", &|s| s.servers.get_mut("i-2").unwrap().deaf = false);
    at(9.3);
    change("i-3 has ended", &|s| s.servers.get_mut("i-3").unwrap().ended = true);
    at(11.4);
    change("i-1 is back, with its log", &|s| {
        let server = s.servers.get_mut("i-1").unwrap();
        (server.dark, server.run) = (false, server.run + 1);
    });
    at(18.0);
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
