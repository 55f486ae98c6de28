//! A store in a real directory: one process at a time, and the writer thread acknowledges only synced writes.

use paddleproxy_store::format::{Key, Kind, Op};
use paddleproxy_store::store::{Options, Store};
use paddleproxy_store::{Disk, Handle};

fn put(number: u32) -> Op {
    Op::Put { key: Key::new(Kind::Tokened, number.to_le_bytes()), value: number.to_string().into_bytes() }
}

#[test]
fn a_directory_is_locked_by_one_process() {
    let dir = tempfile::tempdir().unwrap();
    let first = Disk::open(dir.path()).unwrap();
    assert_eq!(Disk::open(dir.path()).unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
    drop(first);
    assert!(Disk::open(dir.path()).is_ok());
}

#[tokio::test]
async fn acknowledged_writes_survive_reopening() {
    let dir = tempfile::tempdir().unwrap();
    let options = Options { router: 1, segment_bytes: 2000, dead_factor: 2.0 };
    let store = Store::open(Disk::open(dir.path()).unwrap(), options).unwrap();
    let (handle, thread) = Handle::start(store).unwrap();
    let mut acknowledged = 0;
    for number in 0..500 {
        // Most keys are written three times, so that compaction has something to remove.
        match handle.write_durable(vec![put(number % 170)]) {
            Ok(done) => {
                done.await.unwrap().unwrap();
                acknowledged += 1;
            }
            Err(cause) => panic!("{cause}"),
        }
    }
    let stats = handle.stats().await.unwrap();
    assert_eq!((acknowledged, stats.entries, stats.synced_seq), (500, 170, 500));
    assert!(stats.log_bytes < 30_000, "{}", stats.log_bytes);
    drop(handle);
    thread.join().unwrap();
    let store = Store::open(Disk::open(dir.path()).unwrap(), options).unwrap();
    assert_eq!((store.len(), store.findings.len()), (170, 0));
    assert_eq!(store.get(&Key::new(Kind::Tokened, 169u32.to_le_bytes())), Some(&b"169"[..]));
}
