//! A fleet under random faults: kills, signals, outages of the store, leaves, late messages and another
//! process, in series that overlap.
//!
//! `SHALLOTTACK_SOAK_SEEDS=1..51` runs other seeds, `SHALLOTTACK_SOAK_VMS` another number of VMs.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64},
    },
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use shallottack_standins::site::{Connection, StoreCopy};

use super::*;

/// Seeds of a run in CI.
const CI_SEEDS: Range<u64> = 1..4;
/// VMs with a backend server of a run in CI.
const CI_VMS: usize = 5;
/// Duration of the faults for each seed.
const FAULTS: Duration = Duration::from_secs(15);
/// Time after the acknowledgement of a leave from which no request may reach the server.
const DRAIN: Duration = Duration::from_secs(2);
/// Interval between heartbeats.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after the last fault within which all servers that run are used.
const RECOVERY: Duration = Duration::from_secs(15);
/// Callers of each VM.
const CALLERS: usize = 2;

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Where the backend server of a VM is in its life.
#[derive(Debug, Clone, Copy)]
enum Life {
    /// It runs, and sends heartbeats.
    Runs,
    /// It has been acknowledged to leave, and may get requests until the drain is over.
    Left(Instant),
    /// The drain is over; it had run this many requests by then.
    Drained(usize),
}

struct Soak {
    rng: StdRng,
    store: SiteStore,
    copy: StoreCopy,
    /// The VMs, all with callers. No route leads to the service of the first one.
    vms: Vec<Vm>,
    lives: Vec<Life>,
    /// Whether the backend server of a VM sends heartbeats.
    beating: Vec<Arc<AtomicBool>>,
    /// Processes that have ended, and when each starts again.
    ended: Vec<(usize, Instant)>,
    /// Processes that are suspended, and until when.
    suspended: Vec<(usize, Instant)>,
    store_back: Option<Instant>,
    version: u32,
}

/// Sends heartbeats until `stop`, while the server runs.
fn send_heartbeats(vm: &Vm, beating: Arc<AtomicBool>, stop: Arc<AtomicBool>) {
    let (server, heartbeats) = (vm.server.clone(), vm.heartbeats);
    thread::spawn(move || {
        let mut next = Instant::now();
        while !stop.load(SeqCst) {
            if Instant::now() >= next && beating.load(SeqCst) {
                next = Instant::now() + INTERVAL;
                // A daemon that is down gets the next one.
                let _ = server.heartbeat(heartbeats, "ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}

/// Sends requests on connections that stay open until the daemon ends them. Returns what went wrong.
fn send_requests(callers: SocketAddr, stop: &AtomicBool) -> Vec<String> {
    let mut faults = Vec::new();
    let mut connection: Option<Connection> = None;
    while !stop.load(SeqCst) {
        let number = REQUESTS.fetch_add(1, SeqCst);
        let (method, path) =
            if number.is_multiple_of(3) { ("POST", "/order/") } else { ("GET", "/count/") };
        let id = format!("soak-{number}");
        let text = request(method, &format!("{path}{number}"), &id);
        let open = match connection.take() {
            Some(open) => Ok(open),
            None => Connection::open(callers),
        };
        match open.and_then(|mut open| Ok((open.exchange(&text, 1)?.remove(0), open))) {
            Ok((answer, open)) => {
                let sound = match answer.status {
                    200 => answer.body == b"whole" && answer.header("request-id") == Some(&id),
                    status => matches!(status, 429 | 502 | 503 | 504),
                };
                if !sound {
                    faults.push(format!("{id}: {answer:?}"));
                }
                let closes = answer.header("connection").is_some_and(|it| it.contains("close"));
                connection = (!closes).then_some(open);
            }
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
        thread::sleep(Duration::from_millis(5));
    }
    faults
}

impl Soak {
    fn start(seed: u64, servers: usize) -> Soak {
        let store = SiteStore::start().unwrap();
        store.put("op", "config", &configuration("00000001", &["/count/", "/order/"]));
        let mut vms = vec![Vm::start("shop-1", "shop", store.address())];
        vms.extend(
            (1..=servers).map(|it| Vm::start(&format!("stock-{it}"), "stock", store.address())),
        );
        eventually("a request is served", || vms[0].get("/count/1", "warm").status == 200);
        Soak {
            rng: StdRng::seed_from_u64(seed),
            copy: store.copy(),
            store,
            lives: vec![Life::Runs; vms.len()],
            beating: vms.iter().map(|_| Arc::new(AtomicBool::new(true))).collect(),
            vms,
            ended: Vec::new(),
            suspended: Vec::new(),
            store_back: None,
            version: 1,
        }
    }

    /// Runs the faults, and checks what has to hold meanwhile and afterwards.
    fn run(&mut self) {
        let (stop, finish) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (vm, beating) in self.vms.iter().zip(&self.beating) {
            send_heartbeats(vm, Arc::clone(beating), Arc::clone(&stop));
        }
        let callers = self.vms.iter().flat_map(|it| [it.callers; CALLERS]);
        let callers: Vec<_> = callers
            .map(|it| {
                let finish = Arc::clone(&finish);
                thread::spawn(move || send_requests(it, &finish))
            })
            .collect();
        let end = Instant::now() + FAULTS;
        while Instant::now() < end {
            self.fault();
            let pause = self.rng.random_range(20..400);
            let next = Instant::now() + Duration::from_millis(pause);
            while Instant::now() < next {
                self.check();
                thread::sleep(Duration::from_millis(10));
            }
        }
        self.recover();
        finish.store(true, SeqCst);
        let faults: Vec<String> = callers.into_iter().flat_map(|it| it.join().unwrap()).collect();
        stop.store(true, SeqCst);
        assert!(faults.is_empty(), "{faults:?}");
        self.check_orders();
    }

    /// Brings about one fault.
    fn fault(&mut self) {
        let vm = self.rng.random_range(1..self.vms.len());
        let any = self.rng.random_range(0..self.vms.len());
        match self.rng.random_range(0..20) {
            0..=2 => self.kill(any),
            3 => (0..self.vms.len()).for_each(|it| self.kill(it)),
            4 => self.stop(any),
            5 | 6 => self.suspend(any),
            7 | 8 => self.store_down(),
            9 => self.restore_store(),
            10 => self.copy = self.store.copy(),
            11 => self.change_config(),
            12..=14 => self.leave(vm),
            15 => self.start_again(vm),
            16 | 17 => self.beat_late(vm),
            _ => self.send_foreign(vm),
        }
    }

    fn is_running(&self, vm: usize) -> bool {
        !self.ended.iter().any(|it| it.0 == vm) && !self.suspended.iter().any(|it| it.0 == vm)
    }

    fn soon(&mut self, most_ms: u64) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(0..most_ms))
    }

    fn kill(&mut self, vm: usize) {
        if self.ended.iter().all(|it| it.0 != vm) {
            self.suspended.retain(|it| it.0 != vm);
            self.vms[vm].kill();
            let start = self.soon(1_200);
            self.ended.push((vm, start));
        }
    }

    /// Stops a daemon; it ends within its grace period.
    fn stop(&mut self, vm: usize) {
        if self.is_running(vm) {
            self.vms[vm].signal(Signal::TERM);
        }
    }

    fn suspend(&mut self, vm: usize) {
        if self.is_running(vm) {
            self.vms[vm].signal(Signal::STOP);
            let until = self.soon(1_500);
            self.suspended.push((vm, until));
        }
    }

    fn store_down(&mut self) {
        self.store.set_down(true);
        self.store_back = Some(self.soon(3_000));
    }

    fn restore_store(&mut self) {
        self.store.set_down(true);
        self.store.restore(&self.copy);
        // The operators write again what was lost.
        self.change_config();
        self.store_back = Some(self.soon(1_000));
    }

    fn change_config(&mut self) {
        self.version += 1;
        let version = format!("{:08x}", self.version);
        let config = configuration(&version, &["/count/", "/order/", "/late/"]);
        self.store.put("op", "config", &config);
    }

    /// Lets the server of a VM leave in one of several ways, if enough others run.
    fn leave(&mut self, vm: usize) {
        let running = self.lives[1..].iter().filter(|it| matches!(it, Life::Runs)).count();
        let may = matches!(self.lives[vm], Life::Runs) && self.is_running(vm);
        if !may || running <= self.vms.len() / 2 {
            return;
        }
        self.beating[vm].store(false, SeqCst);
        let (server, to) = (self.vms[vm].server.clone(), self.vms[vm].heartbeats);
        server.state_leaving();
        let notice = format!("DELETE /v1/instances/i-stock-{vm} HTTP/1.1\r\nhost: x\r\n\r\n");
        let way = self.rng.random_range(0..3);
        for _ in 0..5 {
            let status = match way {
                0 => server.leave(to),
                1 => server.heartbeat(to, "draining"),
                _ => exchange(to, &notice, 1).map(|it| it[0].status),
            };
            if status.is_ok_and(|it| it == 200) {
                self.lives[vm] = Life::Left(Instant::now());
                return;
            }
        }
        // A server that gets no acknowledgement ends anyway; here it starts again at once.
        server.start_again();
        self.beating[vm].store(true, SeqCst);
    }

    /// Starts the server of a VM again after its drain.
    fn start_again(&mut self, vm: usize) {
        if matches!(self.lives[vm], Life::Drained(_)) {
            self.lives[vm] = Life::Runs;
            self.vms[vm].server.start_again();
            self.beating[vm].store(true, SeqCst);
        }
    }

    /// Sends a heartbeat of a server that has left once more.
    fn beat_late(&mut self, vm: usize) {
        if !matches!(self.lives[vm], Life::Runs) && self.is_running(vm) {
            let _ = self.vms[vm].server.heartbeat(self.vms[vm].heartbeats, "ready");
        }
    }

    /// Sends a heartbeat or a leave notice of another process.
    fn send_foreign(&mut self, vm: usize) {
        if !self.is_running(vm) {
            return;
        }
        let service = *["stock", "elsewhere", "shop"].choose(&mut self.rng).unwrap();
        let born = *[0_u64, 2, 4_102_444_800_000].choose(&mut self.rng).unwrap();
        let state = *["ready", "draining", "elsewhere"].choose(&mut self.rng).unwrap();
        let method = *["PUT", "PUT", "DELETE"].choose(&mut self.rng).unwrap();
        let body = json!({"service": service, "address": "127.0.0.1:9", "zone": "a", "version": "v1",
            "capacity": 9, "state": state, "warmup_left": "0ms", "sequence": 1, "born": born});
        let body = body.to_string();
        let text = format!(
            "{method} /v1/instances/i-foreign HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let _ = exchange(self.vms[vm].heartbeats, &text, 1);
    }

    /// Ends what has lasted long enough, and checks the servers that have left.
    fn check(&mut self) {
        let now = Instant::now();
        if self.store_back.take_if(|it| *it <= now).is_some() {
            self.store.set_down(false);
        }
        let due: Vec<usize> =
            self.suspended.extract_if(.., |it| it.1 <= now).map(|it| it.0).collect();
        due.into_iter().for_each(|it| self.vms[it].signal(Signal::CONT));
        for vm in 0..self.vms.len() {
            let known = self.ended.iter().any(|it| it.0 == vm);
            if !known && self.vms[vm].child.try_wait().unwrap().is_some() {
                self.ended.push((vm, now));
            }
        }
        let due: Vec<usize> = self.ended.extract_if(.., |it| it.1 <= now).map(|it| it.0).collect();
        for vm in due {
            self.vms[vm].child = Vm::spawn(&self.vms[vm].settings);
        }
        for (vm, life) in self.vms.iter().zip(&mut self.lives) {
            let runs = vm.server.runs().len();
            match *life {
                Life::Left(since) if since.elapsed() > DRAIN => *life = Life::Drained(runs),
                Life::Drained(before) => {
                    assert_eq!(runs, before, "{:?} has left and gets requests", vm.settings);
                }
                Life::Left(_) | Life::Runs => {}
            }
        }
    }

    /// Ends all faults, and waits until all servers that run are used.
    fn recover(&mut self) {
        self.store_back = Some(Instant::now());
        self.suspended.iter_mut().chain(&mut self.ended).for_each(|it| it.1 = Instant::now());
        let began = Instant::now();
        let runs =
            |it: &Soak| -> Vec<usize> { it.vms.iter().map(|it| it.server.runs().len()).collect() };
        let mut before = None;
        loop {
            self.check();
            // Stops that are under way end first.
            if before.is_none() && began.elapsed() > Duration::from_secs(6) {
                before = Some(runs(self));
            }
            let unused = |before: &Vec<usize>| -> Vec<usize> {
                let now = runs(self);
                let runs = |it: &usize| matches!(self.lives[*it], Life::Runs);
                (1..now.len()).filter(runs).filter(|it| now[*it] == before[*it]).collect()
            };
            match before.as_ref().map(unused) {
                Some(unused) if unused.is_empty() => return,
                Some(unused) => {
                    assert!(began.elapsed() < RECOVERY, "servers {unused:?} run and are not used");
                }
                None => {}
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Checks that no order has run twice.
    fn check_orders(&self) {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for run in self.vms.iter().flat_map(|it| it.server.runs()) {
            if run.method == "POST" {
                let id = run.header("request-id").unwrap_or_default().to_owned();
                *counts.entry(id).or_default() += 1;
            }
        }
        let twice: Vec<_> = counts.iter().filter(|it| *it.1 > 1).collect();
        assert!(twice.is_empty(), "orders that ran twice: {twice:?}");
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for vm in &self.vms {
            let copy = vm.settings.with_extension("failed.log");
            let _ = fs::copy(vm.settings.with_extension("log"), &copy);
            println!("log of {}: {}", vm.server.address(), copy.display());
        }
    }
}

fn setting<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok().and_then(|it| it.parse().ok())
}

fn seeds() -> Range<u64> {
    let Some(text) = setting::<String>("SHALLOTTACK_SOAK_SEEDS") else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("seeds as 1..51");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Guards against faults that come together: a server that has left gets requests, one that runs gets
/// none, an order runs twice, or a response is not that of the request.
#[test]
fn soak_of_leaves_kills_and_outages() {
    let servers = setting("SHALLOTTACK_SOAK_VMS").unwrap_or(CI_VMS);
    for seed in seeds() {
        println!("seed {seed}, {servers} servers");
        Soak::start(seed, servers).run();
    }
}
