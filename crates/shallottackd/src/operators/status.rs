//! Status of the mesh, gathered from the sources of the data centres.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use shallottack_api::{DataCentreStatus, LOCAL_STATUS_PATH, ServiceStatus, Status};
use shallottack_config::Version;
use shallottack_kernel::{DataCentre, Failure};
use shallottack_membership::{Member, State};
use tide::{
    Request, Response,
    http::{self, Method, Url},
};

use super::{Operators, Shared, json};

/// Time that another daemon gets to report on its data centre.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Members of a data centre that are asked for its report.
const ASKED: usize = 3;

pub(super) async fn mesh(request: Request<Shared>) -> Result<Response, Failure> {
    let operators = request.state();
    let members = operators.mesh.members();
    let mut data_centres: BTreeMap<DataCentre, Vec<Arc<Member>>> = BTreeMap::new();
    for member in &members {
        data_centres.entry(member.data_centre.clone()).or_default().push(Arc::clone(member));
    }
    let here = operators.mesh.me().data_centre.clone();
    data_centres.entry(here.clone()).or_default();
    let mut statuses = Vec::new();
    for (data_centre, members) in data_centres {
        statuses.push(if data_centre == here {
            operators.own(true).await
        } else {
            operators.remote(data_centre, &members).await
        });
    }
    json(&Status {
        endpoint: operators.mesh.me().endpoint.clone(),
        in_force: operators.mesh.in_force(),
        data_centres: statuses,
        services: services(&members),
    })
}

pub(super) async fn local(request: Request<Shared>) -> Result<Response, Failure> {
    // A daemon that was itself asked by another one does not ask further, which ends loops when
    // two daemons take each other for the source.
    let forward = request.url().query() != Some("forward=false");
    json(&request.state().own(forward).await)
}

impl Operators {
    /// Returns the status of this daemon's data centre, from its source when that is another.
    async fn own(&self, forward: bool) -> DataCentreStatus {
        let me = self.mesh.me();
        let source = self.mesh.source();
        if let Some(report) = self.mesh.report() {
            let lagging = report.lagging.iter().map(|it| it.endpoint.clone()).collect();
            return DataCentreStatus {
                data_centre: me.data_centre.clone(),
                source,
                members: self.mesh.live(&me.data_centre) as u32,
                reported: report.daemons,
                lowest: report.lowest,
                lagging,
                problem: None,
            };
        }
        let member = source.as_ref().and_then(|it| self.mesh.member(it));
        let problem = match member {
            Some(member) if forward => {
                match self.ask(member.addresses.operators, "forward=false").await {
                    Ok(status) => return status,
                    Err(problem) => format!("source {}: {problem}", member.endpoint),
                }
            }
            Some(_) => "this daemon is not the source".to_owned(),
            None => "no source known".to_owned(),
        };
        self.without_report(me.data_centre.clone(), problem)
    }

    /// Asks some members of another data centre for its status.
    async fn remote(&self, data_centre: DataCentre, members: &[Arc<Member>]) -> DataCentreStatus {
        let mut problem = "no live member known".to_owned();
        let live = members.iter().filter(|it| it.state < State::Suspect);
        for member in live.take(ASKED) {
            match self.ask(member.addresses.operators, "forward=true").await {
                Ok(status) => return status,
                Err(detail) => problem = format!("{}: {detail}", member.endpoint),
            }
        }
        self.without_report(data_centre, problem)
    }

    fn without_report(&self, data_centre: DataCentre, problem: String) -> DataCentreStatus {
        DataCentreStatus {
            source: None,
            members: self.mesh.live(&data_centre) as u32,
            data_centre,
            reported: 0,
            lowest: Version::ZERO,
            lagging: Vec::new(),
            problem: Some(problem),
        }
    }

    async fn ask(&self, address: SocketAddr, query: &str) -> Result<DataCentreStatus, String> {
        let mut url = Url::parse("http://daemon").expect("constant URL parses");
        url.set_path(LOCAL_STATUS_PATH);
        url.set_query(Some(query));
        let mut request = http::Request::new(Method::Get, url);
        request.insert_header("authorization", format!("Bearer {}", self.token));
        let answer = self
            .pool
            .send(address, request, REPORT_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
    }
}

fn services(members: &[Arc<Member>]) -> Vec<ServiceStatus> {
    let mut counts = BTreeMap::new();
    for member in members {
        let key = (member.service.clone(), member.group.clone());
        let (ready, other) = counts.entry(key).or_insert((0, 0));
        *if member.state == State::Ready { ready } else { other } += 1;
    }
    counts
        .into_iter()
        .map(|((service, group), (ready, other))| ServiceStatus { service, group, ready, other })
        .collect()
}
