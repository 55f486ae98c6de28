//! Prints the measurements: `cargo run --release -p paddleproxy-peerlab --example sizes [quick|SIZE...]`.

use paddleproxy_peerlab::measure::{measure, text, Plan};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let mut plan = if words.iter().any(|word| word == "quick") { Plan::quick() } else { Plan::full() };
    let sizes: Vec<usize> = words.iter().filter_map(|word| word.parse().ok()).collect();
    if !sizes.is_empty() {
        plan.sizes = sizes;
    }
    measure(&plan, |row| print!("{}", text(std::slice::from_ref(row))));
}
