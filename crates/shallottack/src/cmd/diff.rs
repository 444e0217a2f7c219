//! `diff`: shows what applying a configuration file would change.

use gumdrop::Options;
use shallottack_api::CONFIG_PATH;
use shallottack_config::{Catalog, Change, WriteId};

use crate::{
    client::{Client, ClientOptions},
    file::read_configuration,
    output::{Error, Exit, print_json},
};

/// Options of `diff`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration file in YAML")]
    file: String,
}

pub(crate) async fn run(arguments: Arguments, options: &ClientOptions) -> Result<Exit, Error> {
    let wanted = read_configuration(&arguments.file)?;
    let client = Client::new(options)?;
    let current: Catalog = client.get(CONFIG_PATH).await?;
    let change = Change::between(&current, &wanted, WriteId("diff".into()));
    if options.json {
        print_json(&change);
    } else if change.touched().is_empty() {
        println!("no difference from version {}", current.version);
    } else {
        println!("against version {}:", current.version);
        print_change(&change);
    }
    Ok(Exit::Done)
}

/// Prints the resources that a change sets or removes.
pub(crate) fn print_change(change: &Change) {
    for resource in &change.upserts {
        println!("  set    {}", resource.key());
    }
    for key in &change.removes {
        println!("  remove {key}");
    }
}
