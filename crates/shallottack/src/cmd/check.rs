//! `check`: validates a configuration file without a daemon.

use gumdrop::Options;

use crate::{
    client::ClientOptions,
    file::read_configuration,
    output::{Error, Exit, print_json},
};

/// Options of `check`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration file in YAML")]
    file: String,
}

pub(crate) fn run(arguments: &Arguments, options: &ClientOptions) -> Result<Exit, Error> {
    let catalog = read_configuration(&arguments.file)?;
    let (classes, services, routes) =
        (catalog.classes.len(), catalog.services.len(), catalog.routes.len());
    if options.json {
        print_json(&serde_json::json!({
            "valid": true, "classes": classes, "services": services, "routes": routes,
        }));
    } else {
        println!(
            "{}: valid; {classes} classes, {services} services, {routes} routes",
            arguments.file
        );
    }
    Ok(Exit::Done)
}
