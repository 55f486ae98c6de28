//! A library that is preloaded (`LD_PRELOAD`) into a process under test. It forwards system calls to the C
//! library and makes some of them fail, each in a documented way, according to the control file that
//! `PADDLEPROXY_FAULTS` names. It also steps the wall clock, and counts what it injects. Without that
//! variable it changes nothing.
//!
//! Reads and writes fail only on TCP sockets and regular files, so that the pipes and wake-ups of the runtime
//! work. This is the only crate of the project with `unsafe`: its functions replace those of the C library.

#![deny(missing_docs)]
// The contracts of these functions are those of the C library's functions of the same name.
#![allow(clippy::missing_safety_doc)]

mod calls;
mod control;
