//! Adapter between an external simulator and the decision module: runs one `Control` for each simulated
//! router and translates the simulator's line protocol. It makes no decisions of its own.

mod wire;

use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 16, stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, stdout().lock());
    match wire::serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("paddleproxy-drill: {cause:#}");
            ExitCode::FAILURE
        }
    }
}
