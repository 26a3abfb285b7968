//! The command-line interface of aspenline, with one module for each command.

mod cli;
mod command;
mod explain;
mod failure;
mod fleet;
mod input;
mod keys;
mod lines;
mod operator;
mod output;
mod table;
mod timeline;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match cli::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("aspenline: {failure}");
            failure.exit_code()
        }
    }
}
