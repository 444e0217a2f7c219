//! A small deployment: the store, endpoints, and the daemons beside them as processes.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    endpoint::Endpoint,
    http::{Connection, Message},
    record::Record,
    store::Store,
};

pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Process identifiers of the daemons that were started and not waited for.
static DAEMONS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn daemons() -> MutexGuard<'static, Vec<u32>> {
    DAEMONS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills all daemons that were started.
pub fn kill_all() {
    for pid in daemons().drain(..) {
        send_signal(pid, SIGKILL);
    }
}

fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` has no requirements; the process is a child that was not waited for.
    unsafe { kill(pid as i32, signal) };
}

/// A machine: an endpoint and the daemon beside it.
pub struct Machine {
    pub name: String,
    pub endpoint: Endpoint,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    daemon: Option<Child>,
    record: Record,
}

/// All machines and the store.
pub struct Site {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub record: Record,
    folder: PathBuf,
}

/// Ports that no system gives to outgoing connections, so that a free one stays free.
const PORTS: Range<u16> = 20_000..32_000;
/// Number of ports between the first ones of two processes, more than a case needs.
const PORTS_PER_CASE: u32 = 64;

/// Returns an address with a port that is free.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_CASE);
    for _ in PORTS {
        let offset = first.wrapping_add(NEXT.fetch_add(1, SeqCst)) % PORTS.len() as u32;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORTS.start + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Site {
    /// Starts a store and, for each service named in `services`, a machine with its endpoint.
    pub fn start(record: &Record, services: &[&str], slots: usize) -> io::Result<Site> {
        let folder = std::env::temp_dir().join(format!("shallottack-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        let mut site = Site { store, machines: Vec::new(), record: record.clone(), folder };
        for (index, service) in services.iter().enumerate() {
            let name = format!("machine-{}", index + 1);
            let endpoint = Endpoint::start(&format!("i-{}", index + 1), service, slots, record)?;
            site.add_machine(&name, endpoint)?;
        }
        Ok(site)
    }

    fn add_machine(&mut self, name: &str, endpoint: Endpoint) -> io::Result<()> {
        let callers = free_address()?;
        let (peers, metrics) = (free_address()?, free_address()?);
        let (ready, control) = (free_address()?, free_address()?);
        // As `deploy/settings.yaml` is filled in for a machine of a small site.
        let settings = format!(
            "vm: \"{name}\"\ndata_centre: \"a\"\nservice: \"{service}\"\nbackend: \"{backend}\"\n\
             listen:\n  callers: \"{callers}\"\n  peers: \"{peers}\"\n  ready: \"{ready}\"\n  \
             heartbeats: \"{control}\"\n  metrics: \"{metrics}\"\nstore: \"{store}\"\n\
             heartbeat: \"1500ms\"\nlink_mbps: 1000.0\nstop:\n  grace: \"6s\"\nretries:\n  \
             ratio: 0.2\n  extra: 58\n  window: \"10s\"\n",
            service = endpoint.service,
            backend = endpoint.address,
            store = self.store.address,
        );
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        self.machines.push(Machine {
            name: name.to_owned(),
            endpoint,
            callers,
            ready,
            control,
            settings: path,
            daemon: None,
            record: self.record.clone(),
        });
        Ok(())
    }

    /// Starts all daemons and waits until they are ready and know their endpoints.
    pub fn start_daemons(&mut self) -> io::Result<()> {
        for machine in &mut self.machines {
            machine.start_daemon()?;
        }
        for machine in &self.machines {
            machine.endpoint.announce_to(machine.control);
        }
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.machines.iter().all(Machine::is_ready) {
            if Instant::now() > deadline {
                return Err(io::Error::other("the daemons are not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        // The daemons learn of each other's endpoints within the time of two check-ins.
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.end_daemon(SIGKILL);
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

impl Machine {
    /// Starts the daemon with the command of the deploy file.
    pub fn start_daemon(&mut self) -> io::Result<()> {
        let daemon = Command::new("target/release/shallottackd")
            .arg("--fleet")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        self.record.note(&format!("{}: daemon started", self.name));
        daemons().push(daemon.id());
        self.daemon = Some(daemon);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.daemon.as_ref().map(Child::id)
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, signal: i32) {
        let Some(daemon) = &self.daemon else { return };
        self.record.note(&format!("{}: signal {signal} to its daemon", self.name));
        send_signal(daemon.id(), signal);
    }

    /// Sends a signal to the daemon and waits for its end.
    pub fn end_daemon(&mut self, signal: i32) {
        self.signal(signal);
        if let Some(mut daemon) = self.daemon.take() {
            daemon.wait().ok();
            daemons().retain(|it| *it != daemon.id());
        }
    }

    /// Asks the daemon whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<Option<Message>> {
            let mut connection = Connection::open(self.ready)?;
            let start = "GET /v1/ready HTTP/1.1".to_owned();
            let headers = vec![("host".to_owned(), "ready".to_owned())];
            connection.send(&Message { start, headers, body: Vec::new() })?;
            connection.receive(Some(Instant::now() + Duration::from_secs(1)))
        };
        matches!(ask(), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Returns the memory of the daemon in MiB, without the pages of files.
    pub fn memory_mb(&self) -> Option<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find(|it| it.starts_with("RssAnon:"))?;
        let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1_024.0)
    }
}
