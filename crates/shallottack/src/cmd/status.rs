//! `status`: shows the versions in force and the number of endpoints.

use gumdrop::Options;
use shallottack_api::{DataCentreStatus, STATUS_PATH, Status};

use crate::{
    client::{Client, ClientOptions},
    output::{Error, Exit, print_json},
};

/// Options of `status`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn run(options: &ClientOptions) -> Result<Exit, Error> {
    let status: Status = Client::new(options)?.get(STATUS_PATH).await?;
    if options.json {
        print_json(&status);
        return Ok(Exit::Done);
    }
    println!("daemon {}, version {} in force", status.endpoint, status.in_force);
    println!("\n{:<16} {:>8} {:>9} {:>10}  SOURCE", "DATA CENTRE", "DAEMONS", "REPORTED", "LOWEST");
    status.data_centres.iter().for_each(print_data_centre);
    println!("\n{:<24} {:<12} {:>6} {:>6}", "SERVICE", "GROUP", "READY", "OTHER");
    for service in &status.services {
        println!(
            "{:<24} {:<12} {:>6} {:>6}",
            service.service.as_str(),
            service.group.as_str(),
            service.ready,
            service.other
        );
    }
    Ok(Exit::Done)
}

fn print_data_centre(status: &DataCentreStatus) {
    let source = status.source.as_ref().map_or("-", |it| it.as_str());
    println!(
        "{:<16} {:>8} {:>9} {:>10}  {source}",
        status.data_centre.as_str(),
        status.members,
        status.reported,
        status.lowest.to_string()
    );
    if let Some(problem) = &status.problem {
        println!("  no report: {problem}");
    }
    if !status.lagging.is_empty() {
        let lagging: Vec<_> = status.lagging.iter().map(|it| it.as_str()).collect();
        println!("  lagging: {}", lagging.join(", "));
    }
}
