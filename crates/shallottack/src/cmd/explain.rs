//! `explain`: shows the path of a request through the logs of a fleet.

use std::io::Read;

use gumdrop::Options;
use serde_json::Value;

use crate::{
    client::ClientOptions,
    explain::{Explanation, Log, Step, explain},
    output::{Error, Exit, print_json},
};

/// Options of `explain`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "identifier of the request")]
    id: String,
    #[options(free, help = "log files of daemons; reads standard input if none is given")]
    logs: Vec<String>,
}

pub(crate) fn run(arguments: &Arguments, options: &ClientOptions) -> Result<Exit, Error> {
    if arguments.id.is_empty() {
        return Err(Error::Usage("the identifier of a request is missing".to_owned()));
    }
    let explanation = explain(&arguments.id, &read_logs(&arguments.logs)?);
    if options.json {
        print_json(&explanation);
    } else {
        print(&explanation);
    }
    Ok(if explanation.steps.is_empty() { Exit::Failed } else { Exit::Done })
}

fn read_logs(paths: &[String]) -> Result<Vec<Log>, Error> {
    if paths.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|source| Error::Read { path: "standard input".to_owned(), source })?;
        return Ok(vec![Log { name: "-".to_owned(), text }]);
    }
    let read = |path: &String| match std::fs::read_to_string(path) {
        Ok(text) => Ok(Log { name: path.clone(), text }),
        Err(source) => Err(Error::Read { path: path.clone(), source }),
    };
    paths.iter().map(read).collect()
}

fn print(explanation: &Explanation) {
    let Explanation { id, steps, outcome, cause, dropped, unreadable } = explanation;
    let start = steps.first().map_or(0, |it| it.time);
    for step in steps {
        println!("{:>7} ms  {}", step.time - start, format_step(step));
    }
    if steps.is_empty() {
        println!("no line of request {id}");
    }
    if *unreadable > 0 {
        println!("{unreadable} lines could not be read");
    }
    if *dropped > 0 {
        println!("{dropped} lines were left out by the daemons; a step may be among them");
    }
    if let Some(step) = outcome {
        println!("outcome: {}", format_step(step));
    }
    if let Some(step) = cause {
        println!("cause: {}", format_step(step));
    }
}

fn format_step(step: &Step) -> String {
    let mut text = format!("{} {}", step.vm, step.event);
    for (name, value) in step.fields.iter().filter(|(name, _)| *name != "id") {
        let value = match value {
            Value::String(it) => it.clone(),
            other => other.to_string(),
        };
        if !value.is_empty() {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    text
}
