//! Analyses the record of a day, played on sockets or in virtual time, over time: service before, during and
//! after each trouble, time to recover, and pages with plots. Also plays experiments, which vary parameters
//! of a day.

pub mod cost;
mod curves;
pub mod experiment;
mod page;
mod phases;

pub use curves::experiment_page;
pub use page::page;
pub use phases::{rehearsal, Phase, Point, Rehearsal, Span};
