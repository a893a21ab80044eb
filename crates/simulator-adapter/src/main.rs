//! Hosts instances of the decision module for a simulator on standard input and output.

use std::io;
use std::process::ExitCode;

use ironmast_simulator_adapter::Host;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 18, io::stdin().lock());
    let output = io::BufWriter::with_capacity(1 << 18, io::stdout().lock());
    match Host::new().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ironmast-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
