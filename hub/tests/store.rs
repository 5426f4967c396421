//! The store of a control node: reading intact slots, a truncated log, corrupt slots and a newer format.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use base::runtime::{Component, Disk, Env, Listener, LocalFuture, Runtime, Stream};
use bolero::check;
use futures::executor::block_on;
use hub::store::{DiskContent, DurableState, FORMAT_VERSION, Store, StoreError, decode, encode};

#[derive(Clone, Default)]
struct MemoryDisk(Rc<RefCell<BTreeMap<String, Vec<u8>>>>, Rc<std::cell::Cell<bool>>);

impl Disk for MemoryDisk {
    fn read(&self, name: &str) -> LocalFuture<std::io::Result<Option<Vec<u8>>>> {
        let out = self.0.borrow().get(name).cloned();
        Box::pin(async move { Ok(out) })
    }

    fn write(&self, name: &str, data: Vec<u8>) -> LocalFuture<std::io::Result<()>> {
        if self.1.get() {
            return Box::pin(async { Err(std::io::ErrorKind::StorageFull.into()) });
        }
        self.0.borrow_mut().insert(name.into(), data);
        Box::pin(async { Ok(()) })
    }

    fn append(&self, name: &str, at: u64, data: Vec<u8>) -> LocalFuture<std::io::Result<()>> {
        if self.1.get() {
            return Box::pin(async { Err(std::io::ErrorKind::StorageFull.into()) });
        }
        let mut map = self.0.borrow_mut();
        let file = map.entry(name.into()).or_default();
        let end = at as usize + data.len();
        file.resize(file.len().max(end), 0);
        file[at as usize..end].copy_from_slice(&data);
        Box::pin(async { Ok(()) })
    }
}

struct TestRuntime(MemoryDisk);

impl Runtime for TestRuntime {
    fn now(&self) -> Duration {
        Duration::ZERO
    }
    fn sleep(&self, _: Duration) -> LocalFuture<()> {
        unreachable!("a store does not wait")
    }
    fn spawn(&self, _: LocalFuture<()>) {
        unreachable!("a store spawns nothing")
    }
    fn rand(&self) -> u64 {
        4
    }
    fn listen(&self, _: std::net::SocketAddr) -> LocalFuture<std::io::Result<Rc<dyn Listener>>> {
        unreachable!("a store does not listen")
    }
    fn connect(&self, _: std::net::SocketAddr) -> LocalFuture<std::io::Result<Box<dyn Stream>>> {
        unreachable!("a store does not connect")
    }
    fn disk(&self) -> Option<Rc<dyn Disk>> {
        Some(Rc::new(self.0.clone()))
    }
    fn log(&self, _: Component, _: &str) {}
    fn abort_process(&self, text: &str) {
        panic!("{text}")
    }
}

fn open(disk: &MemoryDisk, max_log_bytes: u64) -> Result<(Store, DurableState, DiskContent), StoreError> {
    block_on(Store::open(&Env::new(Rc::new(TestRuntime(disk.clone()))), max_log_bytes))
}

fn state(term: u64) -> DurableState {
    DurableState { term, voted_for: format!("h{term}"), image: Some(Default::default()), ..DurableState::default() }
}

fn disk_with_states(count: u64, max_log_bytes: u64) -> MemoryDisk {
    let disk = MemoryDisk::default();
    let (mut store, _, found) = open(&disk, max_log_bytes).unwrap();
    assert_eq!(found, DiskContent::Empty);
    for t in 1..=count {
        block_on(store.save(&state(t))).unwrap();
    }
    disk
}

#[test]
fn the_newest_save_is_read_back_over_many_generations() {
    for count in 1..40 {
        let (_, state_read, found) = open(&disk_with_states(count, 300), 300).unwrap();
        assert_eq!((state_read, found), (state(count), DiskContent::Valid));
    }
}

/// A crash may cut off the last record anywhere: the state before it is read, and saving continues from there.
#[test]
fn a_log_torn_anywhere_gives_the_last_whole_record() {
    let whole = disk_with_states(5, 1 << 20);
    let log = whole.0.borrow()["log"].clone();
    let size = log.len() / 5;
    for cut in 0..=log.len() {
        let disk = MemoryDisk(Rc::new(RefCell::new(whole.0.borrow().clone())), Rc::default());
        disk.0.borrow_mut().insert("log".into(), log[..cut].to_vec());
        let (mut store, state_read, found) = open(&disk, 1 << 20).unwrap();
        assert_eq!(found, DiskContent::Valid);
        assert_eq!(state_read.term, ((cut / size) as u64).max(1), "cut at {cut}");
        block_on(store.save(&state(9))).unwrap();
        assert_eq!(open(&disk, 1 << 20).unwrap().1, state(9));
    }
}

#[test]
fn corruption_in_the_middle_is_not_taken_for_a_crash() {
    let disk = disk_with_states(5, 1 << 20);
    let size = disk.0.borrow()["log"].len() / 5;
    disk.0.borrow_mut().get_mut("log").unwrap()[size + 40] ^= 1;
    let (_, state_read, found) = open(&disk, 1 << 20).unwrap();
    assert_eq!((found, state_read), (DiskContent::Corrupt, DurableState::default()));
}

#[test]
fn a_corrupt_newest_slot_is_recovered_from_the_log_and_two_are_not() {
    let disk = disk_with_states(12, 300);
    let names: Vec<String> = disk.0.borrow().keys().filter(|k| k.starts_with("slot")).cloned().collect();
    let newest = names.iter().max_by_key(|n| decode(&disk.0.borrow()[*n]).unwrap().unwrap().0).unwrap().clone();
    disk.0.borrow_mut().get_mut(&newest).unwrap()[30] ^= 1;
    let (_, state_read, found) = open(&disk, 300).unwrap();
    assert_eq!((state_read, found), (state(12), DiskContent::Valid));
    for n in names {
        disk.0.borrow_mut().insert(n, vec![1; 50]);
    }
    let (mut store, state_read, found) = open(&disk, 300).unwrap();
    assert_eq!((found, state_read), (DiskContent::Corrupt, DurableState::default()));
    block_on(store.save(&state(20))).unwrap();
    assert_eq!(open(&disk, 300).unwrap().1, state(20));
}

/// While the disk is full, the previous state stays in force; saving works again once there is space.
#[test]
fn a_full_disk_keeps_what_it_holds() {
    let disk = disk_with_states(5, 300);
    let (mut store, _, _) = open(&disk, 300).unwrap();
    disk.1.set(true);
    for t in 6..20 {
        assert!(!block_on(store.save_or_abort(&state(t))));
    }
    assert_eq!(open(&disk, 300).unwrap().1, state(5));
    disk.1.set(false);
    assert!(block_on(store.save_or_abort(&state(20))));
    assert_eq!(open(&disk, 300).unwrap().1, state(20));
}

#[test]
fn a_newer_format_is_refused() {
    let disk = MemoryDisk::default();
    let mut data = encode(1, &state(1));
    data[4..8].copy_from_slice(&(FORMAT_VERSION + 1).to_le_bytes());
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&data[..24]);
    checksum.update(&data[28..]);
    data[24..28].copy_from_slice(&checksum.finalize().to_le_bytes());
    disk.0.borrow_mut().insert("slot-a".into(), data);
    assert!(matches!(open(&disk, 300), Err(StoreError::NewerFormat { file: "slot-a", .. })));
}

#[test]
fn any_bytes_on_disk_open_or_are_refused() {
    check!().with_type::<(Vec<u8>, Vec<u8>, Vec<u8>)>().with_iterations(5_000).for_each(|(a, b, log)| {
        let disk = MemoryDisk::default();
        for (n, d) in [("slot-a", a), ("slot-b", b), ("log", log)] {
            disk.0.borrow_mut().insert(n.into(), d.clone());
        }
        let (_, state, found) = open(&disk, 300).unwrap();
        assert!(found != DiskContent::Valid && state == DurableState::default());
    });
}
