//! Reads batches of events on standard input and writes the orders of all hosts on standard output, a line each.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use tackmast_benchlink::{Link, LinkError};

fn main() -> ExitCode {
    let mut link = Link::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(LinkError::from).and_then(|line| link.batch(&line));
        match reply {
            Ok(reply) => {
                if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("benchlink: input line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
