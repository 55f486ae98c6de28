//! Prints the measurements: `cargo run --release -p paddleproxy-peerlab --example sizes [quick|SIZE...]`.

use paddleproxy_peerlab::measure::{measure, table, Plan};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut plan = if args.iter().any(|arg| arg == "quick") { Plan::quick() } else { Plan::full() };
    let sizes: Vec<usize> = args.iter().filter_map(|arg| arg.parse().ok()).collect();
    if !sizes.is_empty() {
        plan.sizes = sizes;
    }
    measure(&plan, |row| print!("{}", table(std::slice::from_ref(row))));
}
