//! Records what the sockets carried, with times of one clock.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub use paddleproxy_emulator::record::{Line, What};
use tokio::time::Instant;

/// The record of one scenario.
#[derive(Clone)]
pub struct Record {
    origin: Rc<Cell<Instant>>,
    lines: Rc<RefCell<Vec<Line>>>,
    keeps_lines: bool,
}

impl Default for Record {
    fn default() -> Self {
        Record { origin: Rc::new(Cell::new(Instant::now())), lines: Rc::default(), keeps_lines: true }
    }
}

impl Record {
    /// A clock that keeps no lines, for a fleet that runs for a long time.
    pub fn clock_only() -> Self {
        Record { keeps_lines: false, ..Record::default() }
    }

    /// Resets the clock to 0; earlier lines get negative times.
    pub fn restart(&self) {
        let now_ms = self.now_ms();
        self.origin.set(Instant::now());
        self.lines.borrow_mut().iter_mut().for_each(|line| line.at_ms -= now_ms);
    }

    pub fn now_ms(&self) -> f64 {
        self.origin.get().elapsed().as_secs_f64() * 1e3
    }

    pub fn at(&self, ms: f64) -> Instant {
        self.origin.get() + std::time::Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }

    pub fn add(&self, what: What) {
        if !self.keeps_lines {
            return;
        }
        let at_ms = self.now_ms();
        self.lines.borrow_mut().push(Line { at_ms, what });
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lines.borrow().clone()
    }
}
