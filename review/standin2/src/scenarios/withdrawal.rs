//! A control node is frozen with the withdrawal of an evacuation in its socket; the withdrawal is acknowledged by another
//! one, and the zone is evacuated anew. Then the frozen one goes on. The operator closes a connection that is silent for a
//! second. For exploration (an entry of issue 35).

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Session,
    database::lock,
    deployment::{Deployment, http},
};

pub fn play(deployment: &Arc<Deployment>, trouble: &str) -> Option<bool> {
    let record = &deployment.record;
    if !deployment.bring_up(3, "primary") {
        return None;
    }
    for machine in deployment.machines.iter().filter(|m| !m.core) {
        let (service, ip) = (deployment.service.clone(), machine.ip.clone());
        thread::spawn(move || {
            let mut session = None;
            let mut count = 0;
            while !lock(&service).stop {
                thread::sleep(Duration::from_millis(30));
                let Some(open) = session.as_mut() else {
                    session = Session::open_database(&ip, "bounded");
                    continue;
                };
                count += 1;
                if open.query(&format!("r{count}"), "FETCH t1").is_none() {
                    session = None;
                }
            }
        });
    }
    thread::sleep(Duration::from_secs(4));
    let limit = Duration::from_secs(5);
    deployment.order("POST", "/api/evacuation/zone-b", "", "", limit)?;
    thread::sleep(Duration::from_secs(3));
    let frozen = ["core-1", "core-2", "core-3"][trouble.parse::<usize>().unwrap_or(2) % 3];
    let machine = deployment.machines.iter().find(|m| m.name == frozen)?;
    let program = format!("{frozen}.hub");
    deployment.signal(&program, "-STOP");
    let thaw_at = Instant::now() + Duration::from_millis(3500);
    let answer = http(&format!("{}:8782", machine.ip), "DELETE", "/api/evacuation/zone-b", "", "");
    record.line(format!("the frozen {frozen} answers the withdrawal with {answer:?}"));
    deployment.order("DELETE", "/api/evacuation/zone-b", "", "", limit)?;
    let acknowledged = deployment.order("POST", "/api/evacuation/zone-b", "", "", limit)?;
    thread::sleep(thaw_at.saturating_duration_since(Instant::now()));
    deployment.signal(&program, "-CONT");
    record.line("the frozen control node goes on");
    thread::sleep(Duration::from_secs(7));
    let service = lock(&deployment.service);
    let late = service
        .arrivals
        .iter()
        .filter(|a| a.zone == "zone-b" && a.at > acknowledged + Duration::from_millis(5000))
        .count();
    record.line(format!("{late} requests reached zone-b later than 5 s after its evacuation was acknowledged"));
    Some(late == 0)
}
