//! Exit codes and output of errors.

use std::process::ExitCode;

use miette::Diagnostic;
use shallottack_api::ErrorBody;
use shallottack_kernel::{ErrorKind, Run};

use crate::file::InvalidFile;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Unknown = 3,
    Conflict = 4,
    NotInForce = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Error that ends a command.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum Error {
    #[error("{0}")]
    #[diagnostic(help("see `shallottack --help`"))]
    Usage(String),
    #[error("{path} can't be read: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("daemon {address} can't be reached: {detail}")]
    #[diagnostic(help("check the address in --daemon and that the daemon is running"))]
    Unreachable { address: String, detail: String },
    #[error("daemon {address} gave no usable answer: {detail}")]
    NoAnswer { address: String, detail: String },
    #[error("refused ({}): {}", .0.error, .0.detail)]
    Refused(ErrorBody),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Configuration(Box<InvalidFile>),
}

impl Error {
    /// Returns whether the requested change may have taken effect.
    pub(crate) fn outcome_unknown(&self) -> bool {
        match self {
            Error::NoAnswer { .. } => true,
            Error::Refused(body) => body.run == Run::Unknown,
            _ => false,
        }
    }

    fn exit(&self) -> Exit {
        match self {
            Error::Usage(_) => Exit::Usage,
            Error::Read { .. } | Error::Configuration(_) => Exit::Failed,
            Error::Unreachable { .. } | Error::NoAnswer { .. } => Exit::Unknown,
            Error::Refused(body) if body.error == ErrorKind::Conflict => Exit::Conflict,
            Error::Refused(body) if body.run == Run::Unknown => Exit::Unknown,
            Error::Refused(_) => Exit::Failed,
        }
    }
}

/// Prints an error and returns its exit code.
pub(crate) fn report(error: &Error, json: bool) -> Exit {
    match (error, json) {
        (Error::Refused(body), true) => print_json(body),
        (error, true) => {
            let detail = match error {
                Error::Configuration(file) => file.summary(),
                error => error.to_string(),
            };
            println!("{}", serde_json::json!({ "error": "client", "detail": detail }));
        }
        (error, false) => {
            let mut text = String::new();
            let handler = miette::GraphicalReportHandler::new_themed(
                miette::GraphicalTheme::unicode_nocolor(),
            );
            match handler.render_report(&mut text, error) {
                Ok(()) => eprintln!("{text}"),
                Err(_) => eprintln!("shallottack: {error}"),
            }
        }
    }
    error.exit()
}

/// Prints a value as one line of JSON.
pub(crate) fn print_json(value: &impl serde::Serialize) {
    println!("{}", serde_json::to_string(value).expect("plain data encodes"));
}
