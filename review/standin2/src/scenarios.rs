//! The cases. Each returns whether the rule held; `None` if the case could not run.

mod departed;
mod evacuated;
mod fuzz;
mod late;
mod withdrawal;

use std::sync::Arc;

use crate::deployment::Deployment;

pub fn play(case: &str, deployment: &Arc<Deployment>, trouble: &str) -> Option<bool> {
    match case {
        "departed" => departed::play(deployment, trouble),
        "evacuated" => evacuated::play(deployment, trouble),
        "late" => late::play(deployment, trouble),
        "hold" => {
            let up = deployment.bring_up(3, "primary");
            deployment.record.line(format!("{up} {:?}", deployment.controls()));
            std::thread::sleep(std::time::Duration::from_secs(75));
            Some(true)
        }
        "withdrawal" => withdrawal::play(deployment, trouble),
        "fuzz" => fuzz::play(deployment, trouble),
        _ => None,
    }
}
