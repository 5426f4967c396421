//! The platform's call that names the server which takes over.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{http, world::World};

/// How long a promotion takes.
const PROMOTE: Duration = Duration::from_millis(300);
/// The bits of the answer's text that a caller reads.
const NOTHING: &str = "Content-Length: 0\r\n\r\n";

/// Serves `POST /promotion`; while the platform is down its port is dead.
pub fn start(world: Arc<World>, addr: SocketAddr) {
    thread::spawn(move || {
        let mut door: Option<TcpListener> = None;
        loop {
            let down = world.lock().platform_down;
            if down {
                door = None;
            } else if door.is_none() {
                door = TcpListener::bind(addr).ok();
                door.iter().for_each(|d| d.set_nonblocking(true).unwrap_or(()));
            }
            match door.as_ref().map(TcpListener::accept) {
                Some(Ok((io, _))) => {
                    let world = world.clone();
                    thread::spawn(move || answer(&world, io));
                }
                _ => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn answer(world: &Arc<World>, mut io: TcpStream) {
    let _ = io.set_nonblocking(false);
    while let Some(request) = http::read(&mut io, Duration::from_secs(30)) {
        let code = promotion(world, &request);
        if io.write_all(format!("HTTP/1.1 {code} X\r\n{NOTHING}").as_bytes()).is_err() {
            return;
        }
    }
}

/// A text field of a flat JSON object.
fn field(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\""))?.1.split_once(':')?.1.split_once('"')?.1;
    Some(rest.split_once('"')?.0.to_string())
}

fn promotion(world: &Arc<World>, request: &http::Request) -> u16 {
    let fence: Option<u64> = request.header("x-fence-number").and_then(|f| f.parse().ok());
    let (group, id) = (field(&request.body, "target_service"), field(&request.body, "id"));
    let (Some(group), Some(id), Some(fence), true) = (group, id, fence, request.path == "/promotion") else {
        return 400;
    };
    let code = {
        let mut state = world.lock();
        let top = state.fences.entry(group.clone()).or_default();
        let older = fence < *top;
        *top = fence.max(*top);
        let known = state.groups.get(&group);
        match known.and_then(|g| g.copies.get(&id).map(|c| (g, c.up))) {
            _ if older => 409,
            None | Some((_, false)) => 409,
            Some((g, _)) if g.lead.as_deref() == Some(&id) => 200,
            Some(_) => {
                let (world, group, id) = (world.clone(), group.clone(), id.clone());
                thread::spawn(move || {
                    thread::sleep(PROMOTE);
                    world.promote(&group, &id);
                });
                200
            }
        }
    };
    let holder = request.header("x-duty-holder").unwrap_or("-").to_string();
    world.record.say(format!("POST /promotion {group} {id} fence {fence} by {holder}: {code}"));
    code
}
