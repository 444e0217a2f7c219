//! Stand-ins of the review's cases, and the cases themselves: `standin CASE FOLDER TROUBLE`.
//!
//! The record goes to `record.txt` in the folder. The exit status is 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. `0` for TROUBLE leaves the disruption out.

mod caller;
mod cases;
mod endpoint;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::{path::Path, process::ExitCode, thread, time::Duration};

use crate::{record::Record, site::kill_all};

/// Time after which a case counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(100);
/// Exit status of a case that could not run.
const NOT_RUN: u8 = 2;

/// Result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER TROUBLE");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = trouble != "0";
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write the record: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    record.note(&format!("case {name}, {} disruption", if trouble { "with" } else { "without" }));
    end_at_limit(&record);
    let result = match cases::run(name, trouble, &record) {
        Ok(Rule::Held) => (0, "the rule held".to_owned()),
        Ok(Rule::Broken) => (1, "the rule was broken".to_owned()),
        Err(error) => (NOT_RUN, format!("the case could not run: {error}")),
    };
    record.note(&result.1);
    println!("{}", result.1);
    ExitCode::from(result.0)
}

/// Ends the daemons and this process if the case takes too long.
fn end_at_limit(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        record.note("the case took too long");
        kill_all();
        std::process::exit(i32::from(NOT_RUN));
    });
}
