//! Plays one case: `standin2 CASE ROOT RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. With TROUBLE=0 in the environment the disruption is left out.

mod client;
mod database;
mod deployment;
mod origin;
mod record;
mod scenarios;

use std::{path::Path, process::exit};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("standin2 CASE ROOT RECORD");
        exit(2);
    };
    let Ok(record) = record::Record::create(Path::new(record)) else { exit(2) };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let Some(deployment) = deployment::Deployment::new(record.clone(), Path::new(root)) else {
        record.line("no free loopback addresses, or the root can't be used");
        exit(2);
    };
    let deployment = std::sync::Arc::new(deployment);
    let watched = deployment.clone();
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(110));
        watched.record.line("the case took too long");
        watched.end();
        exit(2);
    });
    let result = scenarios::play(case, &deployment, &trouble);
    deployment.copy_decisions();
    let ended = deployment.end();
    if !ended.is_empty() {
        record.line(format!("ended by themselves: {}", ended.join(", ")));
    }
    let code = match result {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    };
    record.line(format!("exit code {code}"));
    exit(code);
}
