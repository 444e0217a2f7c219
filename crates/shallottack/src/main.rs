//! Command-line client for operators.

mod client;
mod cmd;
mod explain;
mod file;
mod output;

use std::process::ExitCode;

use gumdrop::Options;

use crate::output::Exit;

const EXAMPLES: &str = "Examples:
  shallottack diff mesh.yaml
  shallottack apply mesh.yaml --wait
  shallottack status --json
  shallottack check mesh.yaml
  shallottack explain 6fd2ee13f755b860 lac-1.log medina-2.log

The daemon's operators address comes from --daemon or SHALLOTTACK_DAEMON (default 127.0.0.1:8083),
the token from --token-file or SHALLOTTACK_TOKEN.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 daemon unreachable or outcome unknown,
4 conflict with another change, 5 not in force everywhere before the end of --wait.";

/// Applies configuration to a mesh and reports its state.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(help = "address of a daemon's operators port", meta = "ADDRESS", no_short)]
    daemon: Option<String>,
    #[options(help = "file that holds the operators' token", meta = "FILE", no_short)]
    token_file: Option<String>,
    #[options(help = "print results as JSON", no_short)]
    json: bool,
    #[options(command)]
    command: Option<cmd::Command>,
}

fn main() -> ExitCode {
    let mut arguments: Vec<String> = std::env::args().skip(1).collect();
    // `--json` is accepted anywhere, also after the command.
    let json = arguments.iter().any(|it| it == "--json");
    arguments.retain(|it| it != "--json");
    let arguments = match Arguments::parse_args_default(&arguments) {
        Ok(arguments) => Arguments { json, ..arguments },
        Err(error) => {
            eprintln!("shallottack: {error}\nTry `shallottack --help`.");
            return Exit::Usage.into();
        }
    };
    if arguments.version {
        println!("shallottack {}", env!("CARGO_PKG_VERSION"));
        return Exit::Done.into();
    }
    match (&arguments.command, arguments.help_requested()) {
        (_, true) => {
            print_help(&arguments);
            Exit::Done.into()
        }
        (None, false) => {
            eprintln!("shallottack: a command is missing\nTry `shallottack --help`.");
            Exit::Usage.into()
        }
        (Some(_), false) => run(arguments).into(),
    }
}

fn print_help(arguments: &Arguments) {
    let command = arguments.command_name().unwrap_or("COMMAND");
    println!("Usage: shallottack [OPTIONS] {command} [ARGUMENTS]\n");
    println!("{}", arguments.self_usage());
    match arguments.self_command_list() {
        Some(commands) => println!("\nCommands:\n{commands}\n\n{EXAMPLES}"),
        None => println!(),
    }
}

fn run(arguments: Arguments) -> Exit {
    let Some(command) = arguments.command else { return Exit::Usage };
    let options = client::ClientOptions {
        daemon: arguments.daemon,
        token_file: arguments.token_file,
        json: arguments.json,
    };
    match async_std::task::block_on(command.run(&options)) {
        Ok(exit) => exit,
        Err(error) => output::report(&error, options.json),
    }
}
