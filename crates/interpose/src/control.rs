//! Access to the mapped control file: rates, clock offset and counts, and the random choice of calls that
//! fail.

use std::cell::Cell;
use std::ffi::CString;
use std::sync::atomic::{AtomicPtr, AtomicU64, AtomicU8, Ordering};

use paddleproxy_faults::{layout, Fault, CONTROL_VARIABLE};

/// Values of [`STATE`]: whether the control file has been opened and mapped.
const NOT_MAPPED: u8 = 0;
const MAPPING: u8 = 1;
const MAP_TRIED: u8 = 2;

static STATE: AtomicU8 = AtomicU8::new(NOT_MAPPED);
static MAPPED: AtomicPtr<u8> = AtomicPtr::new(std::ptr::null_mut());
static NEXT_THREAD: AtomicU64 = AtomicU64::new(1);

thread_local! {
    static RANDOM_STATE: Cell<u64> = const { Cell::new(0) };
}

/// The mapped file; null if there is none, and while another call maps it.
fn mapped() -> *mut u8 {
    match STATE.compare_exchange(NOT_MAPPED, MAPPING, Ordering::AcqRel, Ordering::Acquire) {
        Ok(_) => {
            MAPPED.store(map().unwrap_or(std::ptr::null_mut()), Ordering::Release);
            STATE.store(MAP_TRIED, Ordering::Release);
        }
        Err(MAP_TRIED) => {}
        Err(_) => return std::ptr::null_mut(),
    }
    MAPPED.load(Ordering::Acquire)
}

fn map() -> Option<*mut u8> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: the path is a C string; the mapping is checked, and never unmapped while the process runs.
    unsafe {
        let file =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let file = file as libc::c_int;
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let at = libc::mmap(std::ptr::null_mut(), layout::BYTES, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (at != libc::MAP_FAILED).then_some(at.cast())
    }
}

fn read_u64(offset: usize) -> u64 {
    let mapped = mapped();
    if mapped.is_null() {
        return 0;
    }
    // SAFETY: the offset is from `layout`, within the mapping and aligned to 8 bytes.
    unsafe { mapped.add(offset).cast::<u64>().read_volatile() }
}

/// Offset of the wall clock, in ms.
pub fn wall_offset_ms() -> i64 {
    read_u64(layout::WALL_OFFSET_MS) as i64
}

/// The longest sleep of a stalled write or a slow sync, in microseconds.
pub fn stall_us() -> u64 {
    read_u64(layout::STALL_US)
}

/// The next random number of this thread (xorshift64*).
pub fn random_u64() -> u64 {
    RANDOM_STATE.with(|random| {
        let mut state = random.get();
        if state == 0 {
            let thread = NEXT_THREAD.fetch_add(1, Ordering::Relaxed);
            state = read_u64(layout::SEED) ^ thread.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        }
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        random.set(state);
        state.wrapping_mul(0x2545_f491_4f6c_dd1d)
    })
}

/// Whether a fault is to affect this call. The caller counts the injection.
pub fn is_due(fault: Fault) -> bool {
    let mapped = mapped();
    if mapped.is_null() {
        return false;
    }
    // SAFETY: within the mapping and aligned to 4 bytes.
    let rate = unsafe { mapped.add(layout::RATES + 4 * fault as usize).cast::<u32>().read_volatile() };
    rate > 0 && (random_u64() >> 48) < u64::from(rate)
}

/// Counts one injection.
pub fn count(fault: Fault) {
    let mapped = mapped();
    if !mapped.is_null() {
        // SAFETY: within the mapping and aligned to 8 bytes; the counter is shared with other threads and
        // processes.
        let counter = unsafe { &*mapped.add(layout::COUNTS + 8 * fault as usize).cast::<AtomicU64>() };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
