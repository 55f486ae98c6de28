//! What the record of a day, played on sockets or in virtual time, says over time: service before, during and
//! after each trouble, how long it takes to recover, and a page with plots.

pub mod cost;
mod curves;
pub mod experiment;
mod page;
mod phases;

pub use curves::experiment_page;
pub use page::page;
pub use phases::{rehearsal, Phase, Point, Rehearsal, Span};
