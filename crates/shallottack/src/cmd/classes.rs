//! `classes`: shows for each class whether its targets are met.

use gumdrop::Options;
use shallottack_api::{CLASSES_PATH, ClassStatus};

use crate::{
    client::{Client, ClientOptions},
    output::{Error, Exit, print_json},
};

/// Options of `classes`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn run(options: &ClientOptions) -> Result<Exit, Error> {
    let classes: Vec<ClassStatus> = Client::new(options)?.get(CLASSES_PATH).await?;
    if options.json {
        print_json(&classes);
        return Ok(Exit::Done);
    }
    println!(
        "{:<24} {:>9} {:>9} {:>9} {:>11}  TARGETS",
        "CLASS", "ANSWERED", "REFUSED", "FAILED", "LATENCY"
    );
    for class in &classes {
        let latency = class.latency_ms.map_or("-".to_owned(), |it| format!("{it:.1} ms"));
        let targets = match (class.met, &class.held_back) {
            (None, _) => "no calls".to_owned(),
            (Some(true), _) => "met".to_owned(),
            (Some(false), cause) => {
                format!("missed: {}", cause.as_deref().unwrap_or("cause unknown"))
            }
        };
        println!(
            "{:<24} {:>9} {:>9} {:>9} {latency:>11}  {targets}",
            class.class.as_str(),
            class.answered,
            class.refused,
            class.failed
        );
    }
    Ok(Exit::Done)
}
