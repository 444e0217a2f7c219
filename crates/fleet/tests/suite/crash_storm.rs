//! Backend servers that crash for different reasons under load, replayed without sockets.

use std::collections::HashMap;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use shallottack_fleet::{
    Blocklist, Crash, CrashSign, Finding, RequestKey, RunEnd, Runs, Standing, TaskId,
};
use shallottack_kernel::Time;

use crate::fixture::{at, id, rng, service};

const SERVERS: usize = 6;
const SLOTS: usize = 12;
/// Milliseconds of one step.
const STEP: u64 = 5;
/// Number of runs of a request whose runs are cut: two attempts of each of two callers' tries.
const MAX_RUNS: u32 = 4;
/// Time in milliseconds after which a request that crashes servers ends them.
const DEADLY_RUN: u64 = 30;
/// Number of requests that arrive again and again.
const HOT: u64 = 5;
const UNIX_MS: u64 = 1_000_000_000_000;
/// Time in milliseconds from the third run that a crash cuts until few more may start.
const CONTACT: u64 = 3_000;
/// Time in milliseconds in which the report of a crash reaches all daemons.
const SPREAD: u64 = 50;

struct Run {
    task: TaskId,
    key: RequestKey,
    runs: u32,
    end: u64,
}

#[derive(Default)]
struct Server {
    runs: Runs,
    running: Vec<Run>,
    up_at: u64,
}

/// What crashes the servers.
struct Causes {
    /// Share of the requests that crash their servers, of each of `deadly`.
    share: f64,
    deadly: Vec<RequestKey>,
    /// Mean time between two other crashes of one server, in milliseconds; 0 for none.
    interval: u64,
    /// Time for which a crashed server is down, in milliseconds.
    down: u64,
}

#[derive(Default)]
struct Replay {
    servers: Vec<Server>,
    list: Blocklist,
    tasks: u64,
    blocked: Vec<RequestKey>,
    /// Reports that have not reached the daemons, with the times at which they do.
    pending: Vec<(u64, usize, Crash)>,
    /// Times of the crashes by requests of `deadly`.
    crashes: Vec<u64>,
    /// Times at which runs of requests of `deadly` were cut, and at which runs began.
    cut: HashMap<RequestKey, Vec<u64>>,
    began: HashMap<RequestKey, Vec<u64>>,
    others: u32,
}

impl Replay {
    fn run(causes: &Causes, length: u64, rng: &mut ChaCha8Rng) -> Replay {
        let servers = (0..SERVERS).map(|_| Server::default()).collect();
        let mut replay = Replay { servers, ..Replay::default() };
        for now in (0..length).step_by(STEP as usize) {
            let deadly = causes.deadly.iter().find(|_| rng.random_bool(causes.share));
            let key = match deadly {
                Some(key) => *key,
                None if rng.random_bool(0.2) => RequestKey(rng.random_range(0..HOT)),
                None => RequestKey(rng.next_u64() | 1 << 63),
            };
            replay.deliver(now);
            replay.place(now, key, 0, rng);
            replay.end_runs(now, causes, rng);
        }
        replay
    }

    fn place(&mut self, now: u64, key: RequestKey, runs: u32, rng: &mut ChaCha8Rng) {
        let standing = self.list.standing(UNIX_MS + now, key);
        let open = |it: &usize| {
            let server = &self.servers[*it];
            let fits = match standing {
                Standing::Free => true,
                Standing::Trial => key.0 as usize % SERVERS == *it && !server.runs.is_running(key),
                Standing::Wait(_) => false,
            };
            fits && server.up_at <= now && server.running.len() < SLOTS
        };
        let open: Vec<usize> = (0..SERVERS).filter(open).collect();
        if open.is_empty() {
            return;
        }
        let server = &mut self.servers[open[rng.random_range(0..open.len())]];
        self.tasks += 1;
        let (task, end) = (TaskId(self.tasks), now + rng.random_range(20..400));
        server.runs.start(task, key);
        self.began.entry(key).or_default().push(now);
        server.running.push(Run { task, key, runs: runs + 1, end });
    }

    /// Delivers the reports that are due to all daemons.
    fn deliver(&mut self, now: u64) {
        let due: Vec<_> = self.pending.extract_if(.., |it| it.0 <= now).collect();
        for (_, number, crash) in due {
            let vm = id(&format!("vm-{number}"));
            for verdict in self.list.record_crash(UNIX_MS + now, &vm, &crash) {
                if verdict.finding == Finding::Blocked && !self.blocked.contains(&verdict.key) {
                    self.blocked.push(verdict.key);
                }
            }
        }
    }

    /// Returns the number of runs of a request that began after it was cut for the third time and
    /// the daemons had time to learn of it.
    fn late_runs(&self, key: RequestKey) -> usize {
        let Some(third) = self.cut.get(&key).and_then(|it| it.get(2)) else { return 0 };
        self.began[&key].iter().filter(|it| **it > third + CONTACT).count()
    }

    fn end_runs(&mut self, now: u64, causes: &Causes, rng: &mut ChaCha8Rng) {
        for number in 0..SERVERS {
            let server = &mut self.servers[number];
            let guilty = server.running.iter().any(|it| {
                causes.deadly.contains(&it.key) && now >= it.end.saturating_sub(400) + DEADLY_RUN
            });
            let chance =
                if causes.interval > 0 { STEP as f64 / causes.interval as f64 } else { 0.0 };
            let other = server.up_at <= now && rng.random_bool(chance);
            if guilty || other {
                self.crashes.extend(guilty.then_some(now));
                self.others += u32::from(!guilty);
                self.crash(now, number, causes, rng);
                continue;
            }
            let ended: Vec<Run> = server.running.extract_if(.., |it| it.end <= now).collect();
            for run in ended {
                server.runs.finish(at(now), run.task, RunEnd::Completed);
                self.list.record_completion(UNIX_MS + now, run.key);
            }
        }
    }

    fn crash(&mut self, now: u64, number: usize, causes: &Causes, rng: &mut ChaCha8Rng) {
        let server = &mut self.servers[number];
        server.up_at = now + causes.down;
        let cut = std::mem::take(&mut server.running);
        for it in &cut {
            server.runs.finish(at(now), it.task, RunEnd::Unanswered);
            self.cut.entry(it.key).or_default().push(now);
        }
        if let Some(runs) = server.runs.take_crash(Time::from_millis(now), CrashSign::Refused) {
            let crash = Crash {
                at_ms: UNIX_MS + now,
                service: service("stock"),
                completions: runs.completions,
                requests: runs.requests,
            };
            self.pending.push((now + SPREAD, number, crash));
        }
        for run in cut.into_iter().filter(|it| it.runs < MAX_RUNS) {
            self.place(now, run.key, run.runs, rng);
        }
    }
}

/// Guards against sound requests that are blocked since servers crash for other reasons, from now
/// and then to several times a second, one after the other or many at once.
#[test]
fn crashes_of_other_causes_block_nothing() {
    let mut crashes = 0;
    for seed in 0..120 {
        let mut rng = rng(seed);
        let (interval, down) = (rng.random_range(300..8_000), rng.random_range(100..3_000));
        let causes = Causes { share: 0.0, deadly: vec![], interval, down };
        let replay = Replay::run(&causes, 30_000, &mut rng);
        if !replay.blocked.is_empty() {
            eprintln!(
                "seed {seed} interval {interval} down {down}: {:?} others {}",
                replay.blocked, replay.others
            );
        }
        crashes += replay.others;
    }
    assert!(crashes > 3_000, "{crashes}");
}

/// Guards against a request that crashes more servers than it has to until it is found, and against
/// others that are blocked in its place.
#[test]
fn requests_that_crash_servers_are_found() {
    let mut crashes = Vec::new();
    for seed in 0..120 {
        let mut rng = rng(seed);
        let kinds = 1 + seed % 2;
        let deadly: Vec<RequestKey> = (0..kinds).map(|it| RequestKey(100 + it)).collect();
        let share = [0.003, 0.02, 0.05][seed as usize % 3];
        let interval = [0, 20_000][seed as usize / 2 % 2];
        let causes = Causes { share, deadly: deadly.clone(), interval, down: 3_000 };
        let replay = Replay::run(&causes, 30_000, &mut rng);
        assert!(replay.blocked.iter().all(|it| deadly.contains(it)), "seed {seed}");
        for key in deadly {
            let late = replay.late_runs(key);
            assert!(late <= 3, "seed {seed}: {late} runs after the third crash");
            let cut = replay.cut.get(&key).map_or(0, Vec::len);
            assert!(replay.blocked.contains(&key) || cut < 5, "seed {seed}: cut {cut} times");
        }
        crashes.push(replay.crashes.len());
    }
    crashes.sort_unstable();
    let quantiles = [0.5, 0.9, 1.0].map(|it| crashes[((crashes.len() - 1) as f64 * it) as usize]);
    insta::assert_compact_debug_snapshot!(quantiles);
}
