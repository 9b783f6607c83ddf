use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use tackmast_benchlink::Link;

fn main() -> ExitCode {
    let mut link = Link::default();
    let mut out = io::stdout().lock();
    for (i, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|e| e.to_string()).and_then(|l| link.batch(&l));
        match reply {
            Ok(reply) => {
                if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(e) => {
                eprintln!("benchlink: input line {}: {e}", i + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
