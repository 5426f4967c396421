//! A client has a transaction that only reads open, with pauses between its statements. The zone of the server that runs
//! it is evacuated (`evacuate`).

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Session,
    database::lock,
    deployment::{Deployment, Machine},
};

const EVACUATION: Duration = Duration::from_millis(5000);

pub fn play(deployment: &Arc<Deployment>, trouble: &str) -> Option<bool> {
    let record = &deployment.record;
    if !deployment.bring_up(3, "owned") {
        record.line("the deployment did not come up");
        return None;
    }
    thread::sleep(Duration::from_secs(6));
    let machine: &Machine = deployment.machines.iter().find(|m| !m.core && m.zone == "zone-b")?;
    let mut session = Session::open(&machine.ip)?;
    record.line(format!("client: BEGIN FETCH -> {:?}", session.query("b1", "BEGIN FETCH")?.result));
    let first = session.query("f1", "FETCH t1")?;
    record.line(format!("client: f1 FETCH t1 -> {:?} {:?}", first.result, first.rows));
    let zone = {
        let service = lock(&deployment.service);
        service.arrivals.iter().find(|arrival| arrival.id == "f1").map(|arrival| arrival.zone.clone())?
    };
    thread::sleep(Duration::from_millis(300));
    let mut acknowledged = Instant::now();
    if trouble != "0" {
        acknowledged = deployment.order("POST", &format!("/api/evacuation/{zone}"), "", "", Duration::from_secs(5))?;
    }
    // 12 statements at most, with pauses of 0.75 s (a transaction may rest for tx_idle_ms = 3,000).
    for n in 2..=11 {
        thread::sleep(Duration::from_millis(750));
        let id = format!("f{n}");
        let Some(answer) = session.query(&id, "FETCH t1") else {
            record.line(format!("client: {id} -> the connection ended"));
            break;
        };
        record.line(format!(
            "client: {id} FETCH t1, {:.2} s after -> {:?} {:?} {}",
            acknowledged.elapsed().as_secs_f64(),
            answer.result,
            answer.rows,
            answer.idle
        ));
        if answer.result.is_err() {
            break;
        }
    }
    let ended = session.query("c1", "COMMIT");
    record.line(format!("client: c1 COMMIT -> {:?}", ended.map(|answer| answer.result)));
    let service = lock(&deployment.service);
    let late: BTreeSet<String> = service
        .arrivals
        .iter()
        .filter(|a| trouble != "0" && a.zone == zone && a.at > acknowledged + EVACUATION)
        .map(|a| {
            let after = a.at.saturating_duration_since(acknowledged).as_secs_f64();
            format!("{} {} at {} from {}, {after:.2} s after the acknowledgement", a.id, a.text, a.server, a.machine)
        })
        .collect();
    late.iter().for_each(|line| record.line(format!("late: {line}")));
    Some(late.is_empty())
}
