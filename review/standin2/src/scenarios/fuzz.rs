//! Drawn troubles under drawn clients; TROUBLE is the seed. For exploration.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Session,
    database::{Expected, Shared, lock},
    deployment::{Deployment, ZONES, http},
    record::Record,
};

#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n.max(1)
    }
}

fn run_client(service: Shared, record: Record, ips: Vec<String>, number: u64, seed: u64) {
    thread::spawn(move || {
        let mut random = Random(seed.wrapping_mul(0x9E3779B97F4A7C15) ^ (number * 7919 + 1));
        for _ in 0..10 {
            random.below(2);
        }
        let mut count = 0u64;
        loop {
            if lock(&service).stop {
                return;
            }
            let database = ["payroll", "bounded", "owned"][random.below(3) as usize];
            let ip = ips[random.below(ips.len() as u64) as usize].clone();
            let Some(mut session) = Session::open_database(&ip, database) else {
                lock(&service).tried += 1;
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let mut values: BTreeMap<String, String> = BTreeMap::new();
            let mut prepared: BTreeMap<String, String> = BTreeMap::new();
            let mut own: Vec<String> = Vec::new();
            let operations = 1 + random.below(30);
            'session: for _ in 0..operations {
                if lock(&service).stop {
                    return;
                }
                thread::sleep(Duration::from_millis(random.below(60)));
                let bound = |service: &Shared, own: &Vec<String>| {
                    let service = lock(service);
                    let now = Instant::now();
                    let age = match database {
                        "payroll" => Duration::ZERO,
                        "bounded" => Duration::from_millis(1500),
                        _ => Duration::from_millis(2500),
                    };
                    let acknowledged = service.acknowledged.partition_point(|(_, at)| *at + age <= now);
                    (acknowledged, if database == "owned" { own.clone() } else { vec![] })
                };
                if random.below(8) == 0 {
                    count += 1;
                    let (name, value) = (format!("v{}", random.below(3)), format!("x{}", random.below(5)));
                    match session.query(&format!("c{number}n{count}"), &format!("MODIFY {name} {value}")) {
                        Some(answer) if answer.result.is_ok() => {
                            values.insert(name, value);
                        }
                        _ => break 'session,
                    }
                }
                if random.below(8) == 0 {
                    count += 1;
                    let kind = if random.below(2) == 0 && database != "bounded" { "STORE" } else { "FETCH" };
                    let (name, shape) = (format!("s{}", random.below(3)), format!("{kind} q{}", random.below(3)));
                    match session.query(&format!("c{number}n{count}"), &format!("DEFINE {name} {shape}")) {
                        Some(answer) if answer.result.is_ok() => {
                            prepared.insert(name, shape);
                        }
                        _ => break 'session,
                    }
                }
                let in_transaction = random.below(3) == 0;
                let read_only = in_transaction && (random.below(2) == 0 || database == "bounded");
                let transaction = if in_transaction { number * 1_000_000 + count + 1 } else { 0 };
                let (acknowledged, own_before) = bound(&service, &own);
                if in_transaction {
                    count += 1;
                    let text = if read_only { "BEGIN FETCH" } else { "BEGIN" };
                    match session.query(&format!("c{number}n{count}"), text) {
                        Some(answer) if answer.result.is_ok() => {}
                        Some(_) => continue,
                        None => break 'session,
                    }
                }
                let statements = if in_transaction { 1 + random.below(5) } else { 1 };
                let mut writes = Vec::new();
                let mut failed = false;
                for _ in 0..statements {
                    count += 1;
                    let id = format!("c{number}n{count}");
                    let can_write = database != "bounded" && !read_only;
                    let (text, is_write, shape) = match random.below(4) {
                        0 if can_write => (format!("STORE t{} d", random.below(9)), true, None),
                        1 if !prepared.is_empty() => {
                            let pick = random.below(prepared.len() as u64) as usize;
                            let (name, shape) = prepared.iter().nth(pick).unwrap();
                            let writes = shape.starts_with("STORE");
                            if writes && !can_write {
                                ("FETCH t1".into(), false, None)
                            } else {
                                let data = if writes { " data" } else { "" };
                                (format!("INVOKE {name} t1{data}"), writes, Some(shape.clone()))
                            }
                        }
                        _ => (format!("FETCH t{}", random.below(9)), false, None),
                    };
                    let (acknowledged, own_now) =
                        if in_transaction { (acknowledged, own_before.clone()) } else { bound(&service, &own) };
                    lock(&service).expected.insert(
                        id.clone(),
                        Expected { values: values.clone(), shape, acknowledged, own: own_now, transaction },
                    );
                    let answer = session.query(&id, &text);
                    {
                        let mut service = lock(&service);
                        service.tried += 1;
                        service.served += u64::from(answer.as_ref().is_some_and(|answer| answer.result.is_ok()));
                    }
                    let text_of = format!("client {number} {database}: {id} {text} -> {answer:?}");
                    record.detail(&text_of);
                    match answer {
                        Some(answer) => match answer.result {
                            Ok(_) if is_write => {
                                writes.push(id);
                                if !in_transaction {
                                    let id = writes.pop().unwrap();
                                    lock(&service).acknowledged.push((id.clone(), Instant::now()));
                                    own.push(id);
                                }
                            }
                            Ok(_) => {}
                            Err(error) => {
                                if !in_transaction && is_write {
                                    promised(&service, &[id], &error);
                                }
                                failed = true;
                            }
                        },
                        None => break 'session,
                    }
                    if failed {
                        break;
                    }
                    if in_transaction && random.below(3) == 0 {
                        thread::sleep(Duration::from_millis(random.below(1500)));
                    }
                }
                if in_transaction {
                    count += 1;
                    let id = format!("c{number}n{count}");
                    let ends = if failed || random.below(5) == 0 { "ABORT" } else { "COMMIT" };
                    lock(&service).expected.insert(
                        id.clone(),
                        Expected { values: values.clone(), transaction, acknowledged: 0, ..Expected::default() },
                    );
                    if ends == "COMMIT" && random.below(20) == 0 {
                        break 'session;
                    }
                    let answer = session.query(&id, ends);
                    record.detail(format!("client {number} {database}: {id} {ends} -> {answer:?}"));
                    match answer {
                        Some(answer) if ends == "COMMIT" => match answer.result {
                            Ok(_) => {
                                let mut service = lock(&service);
                                let now = Instant::now();
                                service.acknowledged.extend(writes.iter().map(|id| (id.clone(), now)));
                                own.extend(writes);
                            }
                            Err(error) => promised(&service, &writes, &error),
                        },
                        Some(_) => {
                            // Rolled back: nothing of it may be kept.
                            promised(&service, &writes, "CONGESTED");
                        }
                        None => break 'session,
                    }
                }
            }
        }
    });
}

/// Records writes that must never be kept.
fn promised(service: &Shared, writes: &[String], error: &str) {
    let code = error.split(' ').next().unwrap_or("");
    if ["CONGESTED", "REVERTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"].contains(&code) {
        let mut service = lock(service);
        for id in writes {
            *service.run_statements.entry(id.clone()).or_default() += 1;
        }
    }
}

pub fn play(deployment: &Arc<Deployment>, trouble: &str) -> Option<bool> {
    let record = deployment.record.clone();
    let seed: u64 = trouble.parse().ok()?;
    if !deployment.bring_up(3, "primary") {
        return None;
    }
    let ips: Vec<String> = deployment.machines.iter().map(|m| m.ip.clone()).collect();
    for number in 1..=24 {
        run_client(deployment.service.clone(), record.clone(), ips.clone(), number, seed);
    }
    run_operator(deployment.clone());
    run_route_checks(deployment.clone());
    thread::sleep(Duration::from_secs(6));
    let mut random = Random(seed.wrapping_mul(0x9E3779B97F4A7C15) | 1);
    for _ in 0..10 {
        random.below(2);
    }
    let kinds: Vec<&str> =
        std::env::var("KINDS").ok().map(|kinds| Vec::from_iter(kinds.leak().split(','))).unwrap_or_else(|| {
            vec![
                "release",
                "crash",
                "deaf",
                "slow",
                "evacuate",
                "hubkill",
                "hubstop",
                "spokestop",
                "spoketerm",
                "cut",
                "late",
                "lost",
                "unanswered",
                "herd",
                "wipe",
            ]
        });
    let end = Instant::now() + Duration::from_secs(62);
    let mut servers = 3usize;
    let mut timers: Vec<(Instant, Box<dyn FnOnce(&Arc<Deployment>) + Send>)> = Vec::new();
    let mut next = Instant::now();
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
        let now = Instant::now();
        let mut rest = Vec::new();
        for (at, action) in timers {
            if now >= at { action(deployment) } else { rest.push((at, action)) }
        }
        timers = rest;
        if now < next {
            continue;
        }
        next = now + Duration::from_millis(700 + random.below(5000));
        let alive: Vec<String> = {
            let service = lock(&deployment.service);
            service
                .servers
                .iter()
                .filter(|(_, s)| !s.ended && !s.deregistered && !s.draining)
                .map(|(n, _)| n.clone())
                .collect()
        };
        let primary = lock(&deployment.service).primary.clone();
        let pick = alive[random.below(alive.len() as u64) as usize].clone();
        let after = |ms: u64| now + Duration::from_millis(ms);
        match kinds[random.below(kinds.len() as u64) as usize] {
            "release" if servers < 20 && alive.len() <= 3 => {
                servers += 1;
                let zone = lock(&deployment.service).servers[&pick].zone.clone();
                record.line(format!("release: {pick} is replaced by i-{servers}"));
                deployment.add_server(servers, &zone);
                let delete_first = random.below(2) == 0;
                let wait = 1200 + random.below(2000);
                let leaver = pick.clone();
                timers.push((
                    after(wait),
                    Box::new(move |d| {
                        let d = d.clone();
                        thread::spawn(move || leave(&d, &leaver, delete_first));
                    }),
                ));
            }
            "crash" => {
                let who = if random.below(2) == 0 && !primary.is_empty() { primary } else { pick };
                let length = 300 + random.below(7000);
                record.line(format!("crash: {who} is dark for {length} ms"));
                lock(&deployment.service).servers.get_mut(&who).unwrap().dark = true;
                timers.push((
                    after(length),
                    Box::new(move |d| {
                        d.record.line(format!("{who} is back"));
                        if let Some(s) = lock(&d.service).servers.get_mut(&who) {
                            (s.dark, s.run, s.suspended) = (false, s.run + 1, 0);
                        }
                    }),
                ));
            }
            "deaf" if pick != primary => {
                let length = 1000 + random.below(5500);
                record.line(format!("deaf: {pick} receives nothing for {length} ms"));
                lock(&deployment.service).servers.get_mut(&pick).unwrap().deaf = true;
                timers.push((
                    after(length),
                    Box::new(move |d| {
                        if let Some(s) = lock(&d.service).servers.get_mut(&pick) {
                            s.deaf = false;
                        }
                    }),
                ));
            }
            "cut" => {
                let length = 1000 + random.below(4000);
                record.line(format!("cut: {pick} is cut off from the core for {length} ms"));
                lock(&deployment.service).servers.get_mut(&pick).unwrap().cut_from_core = true;
                timers.push((
                    after(length),
                    Box::new(move |d| {
                        if let Some(s) = lock(&d.service).servers.get_mut(&pick) {
                            s.cut_from_core = false;
                        }
                    }),
                ));
            }
            "nodecut" => {
                let who = if random.below(3) > 0 && !primary.is_empty() { primary } else { pick };
                let length = 1000 + random.below(6000);
                let machines: std::collections::BTreeSet<String> = deployment
                    .machines
                    .iter()
                    .map(|machine| machine.name.clone())
                    .filter(|_| random.below(3) > 0)
                    .collect();
                record.line(format!("cut: {who} is cut off from {machines:?} for {length} ms"));
                lock(&deployment.service).servers.get_mut(&who).unwrap().cut_from = machines;
                timers.push((
                    after(length),
                    Box::new(move |d| {
                        if let Some(s) = lock(&d.service).servers.get_mut(&who) {
                            s.cut_from.clear();
                        }
                    }),
                ));
            }
            "slow" => {
                let (delay, length) = (200 + random.below(4000), 3000 + random.below(4000));
                record.line(format!("platform: calls take {delay} ms for {length} ms"));
                lock(&deployment.service).platform_delay = Duration::from_millis(delay);
                timers.push((after(length), Box::new(move |d| lock(&d.service).platform_delay = Duration::ZERO)));
            }
            "evacuate" if lock(&deployment.service).evacuated.is_empty() => {
                let zone = ZONES[random.below(3) as usize].to_string();
                let d = deployment.clone();
                thread::spawn(move || {
                    let Some(at) = d.order("POST", &format!("/api/evacuation/{zone}"), "", "", Duration::from_secs(5))
                    else {
                        return;
                    };
                    lock(&d.service).evacuated.insert(zone.clone(), at);
                    thread::sleep(Duration::from_millis(8000));
                    lock(&d.service).evacuated.remove(&zone);
                    d.order("DELETE", &format!("/api/evacuation/{zone}"), "", "", Duration::from_secs(5));
                });
            }
            "late" => {
                let (late, length) = (1000 + random.below(6000), 4000 + random.below(6000));
                record.line(format!("heartbeats: each third comes {late} ms late for {length} ms"));
                lock(&deployment.service).late_heartbeats = Duration::from_millis(late);
                timers.push((after(length), Box::new(move |d| lock(&d.service).late_heartbeats = Duration::ZERO)));
            }
            "lost" => {
                let (one_in, length) = (10 + random.below(60), 3000 + random.below(3000));
                record.line(format!("answers: one in {one_in} is lost for {length} ms"));
                lock(&deployment.service).lost_answers = one_in;
                timers.push((after(length), Box::new(move |d| lock(&d.service).lost_answers = 0)));
            }
            "replies" => {
                let (one_in, length) = (1 + random.below(6), 2000 + random.below(4000));
                record.line(format!("answers to the system's own statements: one in {one_in} is lost for {length} ms"));
                lock(&deployment.service).lost_replies = one_in;
                timers.push((after(length), Box::new(move |d| lock(&d.service).lost_replies = 0)));
            }
            "unanswered" => {
                let (how, length) = (1 + random.below(2) as u8, 2000 + random.below(5000));
                record.line(format!("platform: acts without a good answer ({how}) for {length} ms"));
                lock(&deployment.service).platform_unanswered = how;
                timers.push((after(length), Box::new(move |d| lock(&d.service).platform_unanswered = 0)));
            }
            "herd" => {
                record.line("kill: all control nodes");
                for machine in ["core-1", "core-2", "core-3"] {
                    deployment.signal(&format!("{machine}.hub"), "-KILL");
                    timers.push((
                        after(200 + random.below(800)),
                        Box::new(move |d| {
                            let machine = d.machines.iter().find(|m| m.name == machine).unwrap();
                            d.start(machine, "hub");
                        }),
                    ));
                }
                next = now + Duration::from_millis(6000);
            }
            "wipe" => {
                let machine = deployment.machines[random.below(3) as usize].name.clone();
                record.line(format!("kill and wipe: {machine}.hub"));
                deployment.signal(&format!("{machine}.hub"), "-KILL");
                thread::sleep(Duration::from_millis(50));
                deployment.wipe(&machine);
                timers.push((
                    after(300 + random.below(800)),
                    Box::new(move |d| {
                        let machine = d.machines.iter().find(|m| m.name == machine).unwrap();
                        d.start(machine, "hub");
                    }),
                ));
                next = now + Duration::from_millis(6500);
            }
            "hubkill" => {
                let machine = deployment.machines[random.below(3) as usize].name.clone();
                record.line(format!("kill: {machine}.hub"));
                deployment.signal(&format!("{machine}.hub"), "-KILL");
                timers.push((
                    after(300 + random.below(800)),
                    Box::new(move |d| {
                        let machine = d.machines.iter().find(|m| m.name == machine).unwrap();
                        d.start(machine, "hub");
                    }),
                ));
            }
            "hubstop" | "spokestop" => {
                let hub = random.below(2) == 0;
                let machine = deployment.machines[random.below(if hub { 3 } else { 6 }) as usize].name.clone();
                let program = format!("{machine}.{}", if hub { "hub" } else { "spoke" });
                let length = 200 + random.below(5000);
                record.line(format!("freeze: {program} for {length} ms"));
                deployment.signal(&program, "-STOP");
                timers.push((after(length), Box::new(move |d| d.signal(&program, "-CONT"))));
            }
            "spoketerm" => {
                let machine = deployment.machines[random.below(6) as usize].name.clone();
                record.line(format!("term: {machine}.spoke"));
                deployment.signal(&format!("{machine}.spoke"), "-TERM");
                timers.push((
                    after(6500),
                    Box::new(move |d| {
                        let machine = d.machines.iter().find(|m| m.name == machine).unwrap();
                        d.start(machine, "spoke");
                    }),
                ));
            }
            _ => {}
        }
    }
    if std::env::var_os("CLOSING").is_some() {
        timers.into_iter().for_each(|(_, action)| action(deployment));
        close(deployment);
    }
    thread::sleep(Duration::from_secs(1));
    let mut service = lock(&deployment.service);
    let kept: Vec<String> = {
        let log = &service.servers.values().max_by_key(|s| s.log.last().map(|e| (e.term, e.number))).unwrap().log;
        let in_log: std::collections::HashSet<&str> = log.iter().map(|e| e.id.as_str()).collect();
        service.run_statements.keys().filter(|id| in_log.contains(id.as_str())).cloned().collect()
    };
    for id in kept {
        let line = format!("REFUSED: {id} was kept although its client was promised that nothing is");
        service.broken.push(line);
    }
    record.line(format!(
        "{} statements at servers, {} commits acknowledged, {} promotions, {} promised",
        service.statements,
        service.acknowledged.len(),
        service.promotions.len(),
        service.run_statements.len()
    ));
    service.broken.iter().for_each(|line| record.line(format!("BROKEN {line}")));
    Some(service.broken.is_empty())
}

/// Asks nodes for databases whose route was dropped long enough ago: each change drops the route of the one before.
fn run_route_checks(deployment: Arc<Deployment>) {
    thread::spawn(move || {
        let mut turn = 0usize;
        while !lock(&deployment.service).stop {
            thread::sleep(Duration::from_millis(60));
            turn += 1;
            let now = Instant::now();
            let dropped = {
                let service = lock(&deployment.service);
                let in_force = |at: &Instant| now > *at + Duration::from_millis(3000);
                let newest = service.routes.iter().rposition(|(_, at)| in_force(at));
                newest.filter(|newest| *newest > 0).map(|newest| service.routes[newest - 1].0.clone())
            };
            let Some(dropped) = dropped else { continue };
            let machine = &deployment.machines[turn % deployment.machines.len()];
            let Some(mut session) = Session::open_database(&machine.ip, &dropped) else { continue };
            let id = format!("route{turn}");
            lock(&deployment.service).expected.insert(id.clone(), Expected::default());
            let answer = session.query(&id, "FETCH t1");
            if answer.as_ref().is_some_and(|answer| answer.result.is_ok()) {
                let line =
                    format!("CONFIG: {dropped} was served at {} more than 3 s after it was dropped", machine.name);
                deployment.record.line(&line);
                lock(&deployment.service).broken.push(line);
            }
        }
    });
}

/// Changes the configuration again and again, and reads it back at any control node.
fn run_operator(deployment: Arc<Deployment>) {
    let acknowledged: Arc<std::sync::Mutex<Vec<(u64, Instant)>>> = Arc::default();
    let (reader, known) = (deployment.clone(), acknowledged.clone());
    thread::spawn(move || {
        let mut turn = 0;
        while !lock(&reader.service).stop {
            thread::sleep(Duration::from_millis(130));
            let controls = reader.controls();
            turn += 1;
            let start = Instant::now();
            let Some((200, body)) = http(&controls[turn % controls.len()], "GET", "/api/configuration", "", "") else {
                continue;
            };
            let number = body
                .split_once("\"release_no\":")
                .and_then(|(_, rest)| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok())
                .unwrap_or(0);
            let newest = known.lock().unwrap().iter().filter(|(_, at)| *at <= start).map(|(n, _)| *n).max();
            if newest.is_some_and(|newest| number < newest) {
                let line = format!("CONFIG: {number} was read after {newest:?} was acknowledged");
                reader.record.line(&line);
                lock(&reader.service).broken.push(line);
            }
        }
    });
    thread::spawn(move || {
        let (mut current, mut count) = (2u64, 0u64);
        while !lock(&deployment.service).stop {
            thread::sleep(Duration::from_millis(400));
            count += 1;
            let next = current + 1 + count % 3;
            let body = format!(
                r#"{{"release_no":{next},"upsert":{{"route_table":[{{"name":"r-x","host_name":"extra{count}","path_prefix":"/","route_type":"primary","guard_timer_ms":800,"target_delay_ms":200,"priority_level":1,"target_service":"ledger","max_attempts":2}}]}}}}"#
            );
            let headers = format!("If-Match: {current}\r\n");
            let controls = deployment.controls();
            for turn in 0.. {
                if lock(&deployment.service).stop {
                    return;
                }
                let answer = http(&controls[turn % controls.len()], "PATCH", "/api/configuration", &headers, &body);
                deployment
                    .record
                    .detail(format!("operator: {next} on {current} -> {:?}", answer.as_ref().map(|a| a.0)));
                match answer {
                    Some((200, _)) => {
                        lock(&deployment.service).routes.push((format!("extra{count}"), Instant::now()));
                        current = next;
                        acknowledged.lock().unwrap().push((next, Instant::now()));
                        break;
                    }
                    Some((status, text)) if status == 412 || status == 400 => {
                        let line = format!("CONFIG: a proper order ({next} on {current}) was refused: {status} {text}");
                        deployment.record.line(&line);
                        lock(&deployment.service).broken.push(line);
                        return;
                    }
                    _ => thread::sleep(Duration::from_millis(150)),
                }
            }
        }
    });
}

/// The closing fault: all processes are killed and start again within a second. Service has to be back 12 s later.
fn close(deployment: &Arc<Deployment>) {
    {
        let mut service = lock(&deployment.service);
        (service.platform_delay, service.late_heartbeats) = (Duration::ZERO, Duration::ZERO);
        (service.platform_unanswered, service.lost_answers, service.lost_replies) = (0, 0, 0);
        for server in service.servers.values_mut() {
            if server.dark {
                (server.dark, server.run, server.suspended) = (false, server.run + 1, 0);
            }
            (server.deaf, server.cut_from_core) = (false, false);
        }
    }
    deployment.record.line("closing fault: all processes are killed");
    for machine in &deployment.machines {
        for role in ["hub", "spoke"] {
            deployment.signal(&format!("{}.{role}", machine.name), "-KILL");
        }
    }
    thread::sleep(Duration::from_millis(700));
    for machine in &deployment.machines {
        if machine.core {
            deployment.start(machine, "hub");
        }
        deployment.start(machine, "spoke");
    }
    thread::sleep(Duration::from_millis(12_500));
    let before = lock(&deployment.service).clone_counts();
    thread::sleep(Duration::from_secs(5));
    let mut service = lock(&deployment.service);
    let after = service.clone_counts();
    let (tried, served) = (after.0 - before.0, after.1 - before.1);
    deployment.record.line(format!("after the closing fault: {served} of {tried} statements served"));
    if served * 4 < tried || tried == 0 {
        service.broken.push(format!("RECOVER: {served} of {tried} statements served"));
    }
}

/// A planned end of a server, which sends DELETE first or says that it drains.
fn leave(deployment: &Arc<Deployment>, name: &str, delete_first: bool) {
    let path = format!("/api/instances/{name}");
    if delete_first {
        lock(&deployment.service).servers.get_mut(name).unwrap().deregistered = true;
        if let Some(at) = deployment.order("DELETE", &path, "", "", Duration::from_secs(4)) {
            lock(&deployment.service).leaving.insert(name.into(), at);
        }
        thread::sleep(Duration::from_millis(9000));
    } else {
        lock(&deployment.service).servers.get_mut(name).unwrap().draining = true;
        // The heartbeat says it; a second is enough for it to be acknowledged.
        thread::sleep(Duration::from_millis(1500));
        lock(&deployment.service).leaving.insert(name.into(), Instant::now());
        thread::sleep(Duration::from_millis(9000));
        lock(&deployment.service).servers.get_mut(name).unwrap().deregistered = true;
        deployment.order("DELETE", &path, "", "", Duration::from_secs(4));
    }
    deployment.record.line(format!("{name} has ended"));
    lock(&deployment.service).servers.get_mut(name).unwrap().ended = true;
}
