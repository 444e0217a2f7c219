//! A deployment as separate processes on loopback: platform stand-in, daemons and backend server
//! stand-ins.

mod calls;
mod description;
mod process;

use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

use shallottack_http::{Pool, PoolSettings};
use shallottack_standins::backend::Ledger;
use tide::http::{Method, Request, Url};

pub use self::{
    calls::{CallResult, CallSpec, Caller},
    description::{Description, RequestKind, ServiceSize},
    process::{Process, ProcessError, program},
};

/// Operators' token of the daemons in a cluster.
pub const OPERATORS_TOKEN: &str = "operators-token-of-the-bench";
/// Token that the daemons in a cluster share.
const MESH_TOKEN: &str = "mesh-token-of-the-bench";
/// Token of the platform stand-in.
const PLATFORM_TOKEN: &str = "platform-token-of-the-bench";

/// One endpoint: a daemon and the backend server beside it.
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Service of the backend server.
    pub service: String,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// The daemon's process.
    pub daemon: Process,
    /// The backend server's process.
    pub backend: Process,
    /// Addresses of the daemon.
    pub addresses: DaemonAddresses,
    /// Address of the backend server.
    pub backend_address: SocketAddr,
}

/// Addresses that a daemon prints at its start.
#[derive(Debug, Clone, Copy)]
pub struct DaemonAddresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Operators' API.
    pub operators: SocketAddr,
    /// Announcements of the backend server.
    pub announce: SocketAddr,
}

/// A running deployment.
pub struct Cluster {
    description: Description,
    dir: PathBuf,
    platform: Process,
    platform_address: SocketAddr,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    pool: Pool,
}

impl Cluster {
    /// Starts all processes of a deployment; their settings and logs go into `dir`.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError`] when a program is not built or does not start.
    pub async fn start(description: Description, dir: PathBuf) -> Result<Cluster, ProcessError> {
        std::fs::create_dir_all(&dir).map_err(ProcessError::Io)?;
        let platform = Process::spawn(
            &program("examples/platform")?,
            &["--token".to_owned(), PLATFORM_TOKEN.to_owned()],
            &dir.join("platform.log"),
        )?;
        let platform_address = platform.address_after("listening on ")?;
        let mut cluster = Cluster {
            description,
            dir,
            platform,
            platform_address,
            endpoints: Vec::new(),
            // The ledger of a long run is large.
            pool: Pool::new(PoolSettings { body_bytes: 256 << 20, ..PoolSettings::default() }),
        };
        for service in cluster.description.services.clone() {
            for number in 1..=service.endpoints {
                let index = cluster.endpoints.len();
                let data_centre = cluster.description.data_centres
                    [index % cluster.description.data_centres.len()]
                .clone();
                let name = format!("{}-{number}", service.name);
                let endpoint = cluster.start_endpoint(&name, &service, &data_centre)?;
                cluster.endpoints.push(endpoint);
            }
        }
        Ok(cluster)
    }

    /// Returns what is deployed.
    pub fn description(&self) -> &Description {
        &self.description
    }

    /// Returns the platform stand-in's process.
    pub fn platform(&self) -> &Process {
        &self.platform
    }

    /// Runs the operators' client against the daemon of an endpoint and returns what it printed.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError`] when the client does not start or exits with an error.
    pub fn operate(&self, endpoint: usize, arguments: &[&str]) -> Result<String, ProcessError> {
        let operators = self.endpoints[endpoint].addresses.operators.to_string();
        let mut all = vec!["--daemon", operators.as_str()];
        all.extend_from_slice(arguments);
        process::run(&program("shallottack")?, &all, &[("SHALLOTTACK_TOKEN", OPERATORS_TOKEN)])
    }

    /// Returns the ledger of an endpoint's backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server does not answer.
    pub async fn ledger(&self, endpoint: usize) -> io::Result<Ledger> {
        let address = self.endpoints[endpoint].backend_address;
        let body = self.control(address, Method::Get, "/control/ledger", None).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sets the faults of an endpoint's backend server, as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server does not answer.
    pub async fn backend_faults(&self, endpoint: usize, faults: &str) -> io::Result<()> {
        let address = self.endpoints[endpoint].backend_address;
        self.control(address, Method::Post, "/control/faults", Some(faults)).await.map(drop)
    }

    /// Sets the faults of the platform stand-in, as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not answer.
    pub async fn platform_faults(&self, faults: &str) -> io::Result<()> {
        let address = self.platform_address;
        self.control(address, Method::Post, "/control/faults", Some(faults)).await.map(drop)
    }

    /// Kills the daemon of an endpoint and starts another one in its place; the backend server
    /// announces itself again.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError`] when the new daemon does not start.
    pub fn restart_daemon(&mut self, endpoint: usize) -> Result<(), ProcessError> {
        self.endpoints[endpoint].daemon.kill();
        let daemon = self.start_daemon(
            &self.endpoints[endpoint].name.clone(),
            &self.endpoints[endpoint].data_centre.clone(),
            Some(self.endpoints[endpoint].addresses.announce),
        )?;
        self.endpoints[endpoint].addresses = daemon_addresses(&daemon)?;
        self.endpoints[endpoint].daemon = daemon;
        Ok(())
    }

    /// Kills the backend server of an endpoint and starts another one in its place.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError`] when the new backend server does not start.
    pub fn restart_backend(&mut self, endpoint: usize) -> Result<(), ProcessError> {
        self.endpoints[endpoint].backend.kill();
        let name = self.endpoints[endpoint].name.clone();
        let service = self.endpoints[endpoint].service.clone();
        let size = self.description.services.iter().find(|it| it.name == service);
        let size = size.expect("endpoint of a described service").clone();
        let announce = self.endpoints[endpoint].addresses.announce;
        let backend = self.start_backend(&name, &size, announce)?;
        self.endpoints[endpoint].backend_address = backend.address_after("listening on ")?;
        self.endpoints[endpoint].backend = backend;
        Ok(())
    }

    /// Stops all daemons gracefully and returns the exit code of each.
    pub async fn stop(&mut self, limit: Duration) -> Vec<Option<i32>> {
        for endpoint in &self.endpoints {
            endpoint.daemon.terminate();
        }
        let mut codes = Vec::new();
        for endpoint in &mut self.endpoints {
            codes.push(endpoint.daemon.wait(limit).await);
        }
        codes
    }

    async fn control(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&str>,
    ) -> io::Result<Vec<u8>> {
        let url = Url::parse(&format!("http://{to}{path}")).map_err(io::Error::other)?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {PLATFORM_TOKEN}"));
        if let Some(body) = body {
            request.set_body(body);
        }
        let answer =
            self.pool.send(to, request, Duration::from_secs(5)).await.map_err(io::Error::other)?;
        if !answer.status().is_success() {
            return Err(io::Error::other(format!("{path}: status {}", answer.status())));
        }
        Ok(answer.body)
    }

    fn start_endpoint(
        &self,
        name: &str,
        service: &ServiceSize,
        data_centre: &str,
    ) -> Result<Endpoint, ProcessError> {
        let daemon = self.start_daemon(name, data_centre, None)?;
        let addresses = daemon_addresses(&daemon)?;
        let backend = self.start_backend(name, service, addresses.announce)?;
        let backend_address = backend.address_after("listening on ")?;
        Ok(Endpoint {
            name: name.to_owned(),
            service: service.name.clone(),
            data_centre: data_centre.to_owned(),
            daemon,
            backend,
            addresses,
            backend_address,
        })
    }

    fn start_daemon(
        &self,
        name: &str,
        data_centre: &str,
        announce: Option<SocketAddr>,
    ) -> Result<Process, ProcessError> {
        let announce = announce.map_or("127.0.0.1:0".to_owned(), |it| it.to_string());
        let settings = format!(
            "endpoint: {name}
data_centre: {data_centre}
listen:
  callers: 127.0.0.1:0
  relay: 127.0.0.1:0
  peers: 127.0.0.1:0
  operators: 127.0.0.1:0
  announce: {announce}
platform:
  http:
    addresses: [{platform}]
    token: {PLATFORM_TOKEN}
tokens:
  mesh: {MESH_TOKEN}
  operators: {OPERATORS_TOKEN}
",
            platform = self.platform_address
        );
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).map_err(ProcessError::Io)?;
        Process::spawn(
            &program("shallottackd")?,
            &["--settings".to_owned(), path.display().to_string()],
            &self.dir.join(format!("{name}.log")),
        )
    }

    fn start_backend(
        &self,
        name: &str,
        service: &ServiceSize,
        announce: SocketAddr,
    ) -> Result<Process, ProcessError> {
        let arguments = [
            ("--service", service.name.clone()),
            ("--group", service.group.clone()),
            ("--slots", service.slots.to_string()),
            ("--connections", service.connections.to_string()),
            ("--service-ms", service.service_ms.to_string()),
            ("--announce", announce.to_string()),
            ("--reannounce-ms", "1000".to_owned()),
        ];
        let arguments: Vec<String> =
            arguments.into_iter().flat_map(|(name, value)| [name.to_owned(), value]).collect();
        let log = self.dir.join(format!("{name}-backend.log"));
        Process::spawn(&program("examples/backend")?, &arguments, &log)
    }
}

fn daemon_addresses(daemon: &Process) -> Result<DaemonAddresses, ProcessError> {
    let line = daemon.first_line();
    let find = |port: &str| {
        let rest = line.split_once(&format!("{port} ")).map(|(_, rest)| rest);
        let text = rest.and_then(|it| it.split([',', '\n', ' ']).next()).unwrap_or_default();
        text.parse().map_err(|_| ProcessError::Output(line.to_owned()))
    };
    Ok(DaemonAddresses {
        callers: find("callers")?,
        operators: find("operators")?,
        announce: find("announce")?,
    })
}
