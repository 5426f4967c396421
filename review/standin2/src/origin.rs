//! Finds out which of the started processes opened a connection, so that a stand-in can keep silent towards some of them.

use std::{
    fs,
    net::{SocketAddr, SocketAddrV4, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// The started processes: process id and machine.
#[derive(Clone, Default)]
pub struct Origins {
    processes: Arc<Mutex<Vec<(u32, String)>>>,
    /// One look at a time: many at once would cost more than the connections themselves.
    looking: Arc<Mutex<()>>,
}

impl Origins {
    pub fn add(&self, process: u32, machine: &str) {
        self.processes.lock().unwrap().push((process, machine.into()));
    }

    /// The machine whose process opened this connection; empty if none of the started ones did.
    pub fn machine_of(&self, stream: &TcpStream) -> String {
        // The table is not read as one, so an entry can be missed.
        (0..3)
            .find_map(|_| {
                let looking = self.looking.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                let machine = self.look_up(stream);
                drop(looking);
                if machine.is_none() {
                    thread::sleep(Duration::from_millis(5));
                }
                machine
            })
            .unwrap_or_default()
    }

    fn look_up(&self, stream: &TcpStream) -> Option<String> {
        let (Ok(SocketAddr::V4(peer)), Ok(SocketAddr::V4(own))) = (stream.peer_addr(), stream.local_addr()) else {
            return None;
        };
        let hex =
            |address: SocketAddrV4| format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port());
        let (from, to) = (hex(peer), hex(own));
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let inode = table.lines().find_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            (fields.get(1) == Some(&from.as_str()) && fields.get(2) == Some(&to.as_str()))
                .then(|| fields.get(9).map(|inode| inode.to_string()))?
        })?;
        let wanted = format!("socket:[{inode}]");
        let processes = self.processes.lock().unwrap().clone();
        let owns = |process: u32| {
            let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
            files.filter_map(|file| fs::read_link(file.path()).ok()).any(|target| target.to_string_lossy() == wanted)
        };
        processes.iter().find(|(process, _)| owns(*process)).map(|(_, machine)| machine.clone())
    }
}
