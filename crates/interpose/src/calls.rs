//! Replacements for functions of the C library, which inject faults and otherwise forward to the original.

use std::sync::atomic::{AtomicUsize, Ordering};

use libc::{c_char, c_int, c_uint, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t};
use paddleproxy_faults::Fault;

use crate::control::{count, is_due, random_u64, stall_us, wall_offset_ms};

/// The function of the C library with this name, looked up once.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static AT: AtomicUsize = AtomicUsize::new(0);
        let mut at = AT.load(Ordering::Relaxed);
        if at == 0 {
            at = libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) as usize;
            AT.store(at, Ordering::Relaxed);
        }
        std::mem::transmute::<usize, $type>(at)
    }};
}

fn set_errno(errors: &[c_int]) -> c_int {
    let error = errors[(random_u64() % errors.len() as u64) as usize];
    // SAFETY: `__errno_location` returns the valid `errno` of this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Injects a fault that only sets one of these errors. Returns whether it did.
fn inject_error(fault: Fault, errors: &[c_int]) -> bool {
    let due = is_due(fault);
    if due {
        count(fault);
        set_errno(errors);
    }
    due
}

/// Runs `action` and restores `errno`.
fn preserving_errno<T>(action: impl FnOnce() -> T) -> T {
    // SAFETY: `__errno_location` returns the valid `errno` of this thread.
    unsafe {
        let error = *libc::__errno_location();
        let result = action();
        *libc::__errno_location() = error;
        result
    }
}

fn is_tcp(file: c_int) -> bool {
    preserving_errno(|| {
        let (mut kind, mut domain): (c_int, c_int) = (0, 0);
        let get = |name, into: &mut c_int| {
            let mut length = size_of::<c_int>() as socklen_t;
            // SAFETY: the pointers refer to local variables: the value of the option and its length.
            unsafe {
                libc::getsockopt(file, libc::SOL_SOCKET, name, (into as *mut c_int).cast(), &mut length) == 0
            }
        };
        get(libc::SO_TYPE, &mut kind)
            && get(libc::SO_DOMAIN, &mut domain)
            && kind == libc::SOCK_STREAM
            && matches!(domain, libc::AF_INET | libc::AF_INET6)
    })
}

fn is_file(file: c_int) -> bool {
    preserving_errno(|| {
        // SAFETY: the pointer refers to a local variable, and zero is a valid value of `stat`.
        unsafe {
            let mut status: libc::stat = std::mem::zeroed();
            libc::fstat(file, &mut status) == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
        }
    })
}

/// A random number of bytes below `length`, at least one.
fn random_part(length: size_t) -> size_t {
    match length {
        0 | 1 => length,
        _ => 1 + (random_u64() as usize % (length - 1)),
    }
}

const BROKEN_ERRORS: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

/// Breaks the connection of a socket if the fault is due for this call. Returns whether it did.
fn break_connection(fault: Fault, file: c_int) -> bool {
    if !is_due(fault) || !is_tcp(file) {
        return false;
    }
    count(fault);
    // SAFETY: no memory is passed.
    preserving_errno(|| unsafe { libc::shutdown(file, libc::SHUT_RDWR) });
    set_errno(&BROKEN_ERRORS);
    true
}

/// What to do with a read or a write: fail, or forward it with this number of bytes.
enum Action {
    Fail,
    Forward(size_t),
}

fn read_action(file: c_int, length: size_t) -> Action {
    if is_due(Fault::ReadInterrupted) && is_tcp(file) {
        count(Fault::ReadInterrupted);
        set_errno(&[libc::EINTR]);
        return Action::Fail;
    }
    if break_connection(Fault::ReadBroken, file) {
        return Action::Fail;
    }
    if length > 1 && is_due(Fault::ReadShort) && is_tcp(file) {
        count(Fault::ReadShort);
        return Action::Forward(random_part(length.min(512)));
    }
    Action::Forward(length)
}

fn write_action(file: c_int, length: size_t) -> Action {
    if is_due(Fault::WriteStall) && is_tcp(file) {
        count(Fault::WriteStall);
        let max_us = stall_us().max(1);
        std::thread::sleep(std::time::Duration::from_micros(random_u64() % max_us));
    }
    if is_due(Fault::WriteInterrupted) && is_tcp(file) {
        count(Fault::WriteInterrupted);
        set_errno(&[libc::EINTR]);
        return Action::Fail;
    }
    if break_connection(Fault::WriteBroken, file) {
        return Action::Fail;
    }
    if length > 1 && is_due(Fault::WriteShort) && is_tcp(file) {
        count(Fault::WriteShort);
        return Action::Forward(random_part(length));
    }
    if is_due(Fault::FileWriteFails) && is_file(file) {
        count(Fault::FileWriteFails);
        set_errno(&[libc::ENOSPC, libc::EIO]);
        return Action::Fail;
    }
    if length > 1 && is_due(Fault::FileWriteShort) && is_file(file) {
        count(Fault::FileWriteShort);
        return Action::Forward(random_part(length));
    }
    Action::Forward(length)
}

/// The C library's `read`.
#[no_mangle]
pub unsafe extern "C" fn read(file: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    let real = real!("read", unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t);
    match read_action(file, length) {
        Action::Fail => -1,
        Action::Forward(length) => real(file, bytes, length),
    }
}

/// The C library's `recv`.
#[no_mangle]
pub unsafe extern "C" fn recv(file: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    if flags & libc::MSG_PEEK != 0 {
        return real(file, bytes, length, flags);
    }
    match read_action(file, length) {
        Action::Fail => -1,
        Action::Forward(length) => real(file, bytes, length, flags),
    }
}

/// The C library's `readv`.
#[no_mangle]
pub unsafe extern "C" fn readv(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let real = real!("readv", unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    match first_buffer(buffers, count) {
        Some((bytes, length)) => match read_action(file, length) {
            Action::Fail => -1,
            Action::Forward(shorter) if shorter < length => read_plain(file, bytes, shorter),
            Action::Forward(_) => real(file, buffers, count),
        },
        None => real(file, buffers, count),
    }
}

unsafe fn read_plain(file: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    let real = real!("read", unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t);
    real(file, bytes, length)
}

unsafe fn write_plain(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let real = real!("write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    real(file, bytes, length)
}

/// The first buffer that is not empty.
unsafe fn first_buffer(buffers: *const iovec, count: c_int) -> Option<(*mut c_void, size_t)> {
    let buffers = (0..count.max(0) as usize).map(|index| *buffers.add(index));
    buffers.into_iter().find(|buffer| buffer.iov_len > 0).map(|buffer| (buffer.iov_base, buffer.iov_len))
}

/// The C library's `write`.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    match write_action(file, length) {
        Action::Fail => -1,
        Action::Forward(length) => write_plain(file, bytes, length),
    }
}

/// The C library's `send`.
#[no_mangle]
pub unsafe extern "C" fn send(file: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    match write_action(file, length) {
        Action::Fail => -1,
        Action::Forward(length) => real(file, bytes, length, flags),
    }
}

/// The C library's `writev`.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let real = real!("writev", unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    match first_buffer(buffers, count) {
        Some((bytes, length)) => match write_action(file, length) {
            Action::Fail => -1,
            Action::Forward(shorter) if shorter < length => write_plain(file, bytes, shorter),
            Action::Forward(_) => real(file, buffers, count),
        },
        None => real(file, buffers, count),
    }
}

/// Whether `accept` is to fail; `errno` is set then, and the connection stays in the queue of the listener.
fn inject_accept_error(file: c_int) -> bool {
    is_tcp(file)
        && (inject_error(Fault::AcceptAborted, &[libc::ECONNABORTED])
            || inject_error(Fault::AcceptNoFiles, &[libc::ENFILE, libc::EMFILE])
            || inject_error(Fault::AcceptNoBuffers, &[libc::ENOBUFS, libc::ENOMEM, libc::EPROTO])
            || inject_error(Fault::AcceptInterrupted, &[libc::EINTR]))
}

/// The C library's `accept`.
#[no_mangle]
pub unsafe extern "C" fn accept(file: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    let real = real!("accept", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int);
    if inject_accept_error(file) {
        return -1;
    }
    real(file, address, length)
}

/// The C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    file: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let real = real!("accept4", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    if inject_accept_error(file) {
        return -1;
    }
    real(file, address, length, flags)
}

/// The C library's `socket`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!("socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    let internet = matches!(domain, libc::AF_INET | libc::AF_INET6);
    if internet && inject_error(Fault::SocketFails, &[libc::ENFILE, libc::EMFILE, libc::ENOBUFS]) {
        return -1;
    }
    real(domain, kind, protocol)
}

/// The C library's `connect`.
#[no_mangle]
pub unsafe extern "C" fn connect(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let real = real!("connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    let due = is_tcp(file)
        && (inject_error(Fault::ConnectNoAddress, &[libc::EADDRNOTAVAIL, libc::ENOBUFS])
            || inject_error(Fault::ConnectUnreachable, &[libc::ENETUNREACH, libc::EHOSTUNREACH]));
    if due {
        return -1;
    }
    real(file, address, length)
}

/// The C library's `bind`.
#[no_mangle]
pub unsafe extern "C" fn bind(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let real = real!("bind", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    if is_tcp(file) && inject_error(Fault::BindFails, &[libc::EADDRINUSE, libc::ENOBUFS]) {
        return -1;
    }
    real(file, address, length)
}

/// The C library's `listen`.
#[no_mangle]
pub unsafe extern "C" fn listen(file: c_int, backlog: c_int) -> c_int {
    let real = real!("listen", unsafe extern "C" fn(c_int, c_int) -> c_int);
    if inject_error(Fault::ListenFails, &[libc::EADDRINUSE]) {
        return -1;
    }
    real(file, backlog)
}

/// The C library's `epoll_wait`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    file: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    let real =
        real!("epoll_wait", unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int);
    if inject_error(Fault::WaitInterrupted, &[libc::EINTR]) {
        return -1;
    }
    real(file, events, max_events, timeout_ms)
}

/// The C library's `clock_gettime`; only the wall clock gets the offset.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let real = real!("clock_gettime", unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int);
    let result = real(clock, time);
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let offset_ms = wall_offset_ms();
        let nanoseconds = (*time).tv_nsec + (offset_ms % 1000) * 1_000_000;
        (*time).tv_sec += offset_ms / 1000 + nanoseconds.div_euclid(1_000_000_000);
        (*time).tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    result
}

fn inject_sync_fault() -> bool {
    if is_due(Fault::SyncSlow) {
        count(Fault::SyncSlow);
        std::thread::sleep(std::time::Duration::from_micros(random_u64() % stall_us().max(1)));
    }
    inject_error(Fault::SyncFails, &[libc::EIO])
}

/// The C library's `fsync`.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    let real = real!("fsync", unsafe extern "C" fn(c_int) -> c_int);
    if inject_sync_fault() {
        return -1;
    }
    real(file)
}

/// The C library's `fdatasync`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    let real = real!("fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    if inject_sync_fault() {
        return -1;
    }
    real(file)
}

/// The C library's `rename`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let real = real!("rename", unsafe extern "C" fn(*const c_char, *const c_char) -> c_int);
    if inject_error(Fault::RenameFails, &[libc::ENOSPC, libc::EIO]) {
        return -1;
    }
    real(from, to)
}

/// The C library's `open64`, through which the standard library opens files.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    let real = real!("open64", unsafe extern "C" fn(*const c_char, c_int, c_uint) -> c_int);
    let read_only = flags & libc::O_ACCMODE == libc::O_RDONLY;
    if read_only && inject_error(Fault::OpenFails, &[libc::ENFILE, libc::EMFILE]) {
        return -1;
    }
    real(path, flags, mode)
}
