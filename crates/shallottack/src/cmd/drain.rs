//! `drain`: shuts a daemon down gracefully.

use gumdrop::Options;
use shallottack_api::DRAIN_PATH;

use crate::{
    client::{Client, ClientOptions},
    output::{Error, Exit, print_json},
};

/// Options of `drain`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn run(options: &ClientOptions) -> Result<Exit, Error> {
    Client::new(options)?.trigger(DRAIN_PATH).await?;
    if options.json {
        print_json(&serde_json::json!({ "draining": true }));
    } else {
        println!("the daemon is draining");
    }
    Ok(Exit::Done)
}
