//! Commands of the client, one per module.

mod apply;
mod check;
mod classes;
mod diff;
mod drain;
mod explain;
mod status;

use gumdrop::Options;

use crate::{
    client::ClientOptions,
    output::{Error, Exit},
};

/// Commands of the client.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "apply a configuration file to the mesh")]
    Apply(apply::Arguments),
    #[options(help = "show what applying a configuration file would change")]
    Diff(diff::Arguments),
    #[options(help = "show the versions in force and the endpoints, by data centre and service")]
    Status(status::Arguments),
    #[options(help = "show for each class whether its targets are met")]
    Classes(classes::Arguments),
    #[options(help = "stop the daemon gracefully")]
    Drain(drain::Arguments),
    #[options(help = "check a configuration file without a daemon")]
    Check(check::Arguments),
    #[options(help = "show the path of a request through the logs of a fleet")]
    Explain(explain::Arguments),
}

impl Command {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<Exit, Error> {
        match self {
            Command::Apply(arguments) => apply::run(arguments, options).await,
            Command::Diff(arguments) => diff::run(arguments, options).await,
            Command::Status(_) => status::run(options).await,
            Command::Classes(_) => classes::run(options).await,
            Command::Drain(_) => drain::run(options).await,
            Command::Check(arguments) => check::run(&arguments, options),
            Command::Explain(arguments) => explain::run(&arguments, options),
        }
    }
}
