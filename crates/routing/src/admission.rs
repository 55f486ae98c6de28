//! Who is taken when open completions run short. A completion that was taken is the decisions' matter; one that is
//! not is answered at once, before its body is read.

use paddleproxy::interface::CustomerId;

/// Share of the places that any customer may fill; of the rest each gets its part by quota.
const OPEN_TO_ALL: f64 = 0.75;

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnedAway {
    /// All places are taken.
    Full,
    /// Places are short and this customer holds more than its part.
    BeyondShare,
    /// The router is about to stop.
    Stopping,
}

/// Counts open completions by customer.
pub struct Admission {
    places: usize,
    open: usize,
    stopping: bool,
    /// By customer, and last those without one: quota and open completions.
    rows: Vec<(f64, usize)>,
}

impl Admission {
    pub fn new(places: usize, quotas: &[f64]) -> Self {
        let mut rows: Vec<_> = quotas.iter().map(|quota| (*quota, 0)).collect();
        rows.push((0.0, 0));
        Admission { places, open: 0, stopping: false, rows }
    }

    fn row(&self, customer: Option<CustomerId>) -> usize {
        let last = self.rows.len() - 1;
        customer.map_or(last, |customer| customer.0.min(last))
    }

    /// Takes a place.
    ///
    /// # Errors
    /// Why there is none. Guards against a burst of one customer that fills the router, whatever caused it.
    /// Harm: where one customer alone is active it can't use the last quarter beyond its part.
    pub fn take(&mut self, customer: Option<CustomerId>) -> Result<(), TurnedAway> {
        let row = self.row(customer);
        if self.stopping {
            return Err(TurnedAway::Stopping);
        }
        if self.open >= self.places {
            return Err(TurnedAway::Full);
        }
        let quotas: f64 = self.rows.iter().map(|(quota, _)| quota).sum();
        let (quota, open) = self.rows[row];
        let part = if quotas > 0.0 { quota / quotas } else { 1.0 };
        let short = self.open as f64 >= OPEN_TO_ALL * self.places as f64;
        if short && open as f64 >= part * self.places as f64 {
            return Err(TurnedAway::BeyondShare);
        }
        self.open += 1;
        self.rows[row].1 += 1;
        Ok(())
    }

    /// Gives a place back.
    pub fn give(&mut self, customer: Option<CustomerId>) {
        let row = self.row(customer);
        self.open = self.open.saturating_sub(1);
        self.rows[row].1 = self.rows[row].1.saturating_sub(1);
    }

    pub fn open(&self) -> usize {
        self.open
    }

    pub fn stop(&mut self) {
        self.stopping = true;
    }

    pub fn stopping(&self) -> bool {
        self.stopping
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_burst_of_one_leaves_room_for_the_others() {
        let mut admission = Admission::new(100, &[3.0, 1.0]);
        let (large, small) = (Some(CustomerId(0)), Some(CustomerId(1)));
        let mut taken = 0;
        while admission.take(small).is_ok() {
            taken += 1;
        }
        assert_eq!((taken, admission.take(small)), (75, Err(TurnedAway::BeyondShare)));
        for _ in 0..25 {
            admission.take(large).unwrap();
        }
        assert_eq!(admission.take(large), Err(TurnedAway::Full));
        admission.give(small);
        admission.take(large).unwrap();
        admission.stop();
        admission.give(large);
        assert_eq!(admission.take(large), Err(TurnedAway::Stopping));
    }
}
