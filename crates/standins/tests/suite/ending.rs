//! Announcement, drain and crash, in process and as processes of their own.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use async_std::{
    channel::{self, Receiver},
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::future;
use shallottack_http::{Limits, Pool, PoolSettings, Serving, Stopped, serve};
use shallottack_standins::{
    BackendSettings,
    backend::{Announcement, Departure},
    fetch_json,
};
use tide::{Request, Response};

use crate::setup::{Caller, PATIENCE, eventually, settings, start, status};

/// Announce port that refuses the first announcement.
struct Daemon {
    serving: Serving,
    announced: Receiver<Announcement>,
    left: Receiver<Departure>,
}

impl Daemon {
    async fn start() -> Daemon {
        let (announce, announced) = channel::unbounded();
        let (leave, left) = channel::unbounded();
        let first = Arc::new(AtomicBool::new(true));
        let mut app = tide::new();
        app.at("/announce").post(move |mut request: Request<()>| {
            let (announce, first) = (announce.clone(), Arc::clone(&first));
            async move {
                announce.send(request.body_json().await?).await.ok();
                Ok(Response::new(if first.swap(false, SeqCst) { 503 } else { 200 }))
            }
        });
        app.at("/leave").post(move |mut request: Request<()>| {
            let leave = leave.clone();
            async move {
                leave.send(request.body_json().await?).await.ok();
                Ok("not JSON")
            }
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Daemon { serving: serve(listener, app, Limits::default()).unwrap(), announced, left }
    }
}

/// Example started as a process, ended with the test.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(example: &str, arguments: &[&str]) -> Process {
        let tests = std::env::current_exe().unwrap();
        let program = tests.parent().unwrap().parent().unwrap().join("examples").join(example);
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the example is built along with the tests");
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim_end().strip_prefix("listening on ").expect("the address");
        Process { address: address.parse().unwrap(), child }
    }

    async fn exit(&mut self) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(began.elapsed() < PATIENCE, "the process does not end");
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A drain must tell the daemon first, still serve meanwhile and interrupt nothing.
#[test]
fn a_drain_leaves_and_interrupts_no_call() {
    task::block_on(async {
        let daemon = Daemon::start().await;
        let announcing = BackendSettings {
            announce: Some(daemon.serving.address()),
            drain: Duration::from_millis(100),
            cold_start: Duration::from_secs(60),
            cold_factor: 1.0,
            ..settings()
        };
        let (backend, caller) = start(announcing).await;
        for _ in 0..2 {
            let announcement = daemon.announced.recv().await.unwrap();
            assert_eq!(announcement.address, backend.address());
            assert_eq!((announcement.group.as_str(), announcement.slots), ("v1", 12));
            assert!((50_000..=60_000).contains(&announcement.cold_start_ms));
        }
        let in_flight = async { status(&caller.call(&[("standin-service-ms", "300")]).await) };
        let draining = async {
            eventually(|| backend.ledger().runs == 1).await;
            backend.drain(PATIENCE).await
        };
        let after_leave = async {
            assert_eq!(daemon.left.recv().await.unwrap().address, caller.address);
            (status(&caller.call(&[]).await), status(&caller.get("/health").await))
        };
        let ((first, second), stopped) =
            future::zip(future::zip(in_flight, after_leave), draining).await;
        assert_eq!((first, second), (200, (200, 503)));
        assert_eq!(stopped, Stopped { aborted: 0 });
        assert_eq!(daemon.serving.traffic().requests, 3, "two announcements and one leave");
        assert!(TcpStream::connect(caller.address).await.is_err());
    });
}

/// A daemon that lost its state must hear of its backend server again.
#[test]
fn announcements_are_repeated_at_their_interval() {
    task::block_on(async {
        let daemon = Daemon::start().await;
        let reannounce = Some(Duration::from_millis(5));
        let announce = Some(daemon.serving.address());
        let (backend, _) = start(BackendSettings { announce, reannounce, ..settings() }).await;
        for _ in 0..4 {
            assert_eq!(daemon.announced.recv().await.unwrap().address, backend.address());
        }
    });
}

/// A crash must close everything at once, without leave.
#[test]
fn a_crash_closes_connections_in_use() {
    task::block_on(async {
        let (backend, caller) = start(settings()).await;
        let call = caller.call_within(PATIENCE, &[("standin-service-ms", "60000")]);
        let crash = async {
            eventually(|| backend.ledger().runs == 1).await;
            backend.crash().await;
        };
        let (answer, ()) = future::zip(call, crash).await;
        assert!(answer.unwrap_err().may_have_reached());
    });
}

#[test]
fn the_backend_process_announces_itself_drains_and_crashes() {
    task::block_on(async {
        let daemon = Daemon::start().await;
        let announce = daemon.serving.address().to_string();
        let arguments =
            ["--service", "stock-svc", "--group", "v2", "--announce", &announce, "--slots", "9"];
        let pool = Pool::new(PoolSettings::default());
        let end = async |process: &mut Process, path| {
            let answer = fetch_json::<_, ()>(&pool, process.address, path, Some(&())).await;
            (answer.is_ok(), process.exit().await.code())
        };
        let mut process =
            Process::start("backend", &[&arguments[..], &["--drain-ms", "20"]].concat());
        let announcement = daemon.announced.recv().await.unwrap();
        assert_eq!((announcement.address, announcement.slots), (process.address, 9));
        let caller = Caller { pool: pool.clone(), address: process.address };
        assert_eq!(caller.call(&[]).await.header("standin-group"), Some("v2"));
        assert_eq!(end(&mut process, "/control/drain").await, (true, Some(0)));
        assert_eq!(daemon.left.recv().await.unwrap().address, process.address);
        let mut process = Process::start("backend", &["--service", "stock-svc"]);
        // The process may end before the response to its crash is written.
        assert_eq!(end(&mut process, "/control/crash").await.1, Some(137));
    });
}

#[test]
fn the_platform_process_serves_its_control_paths() {
    task::block_on(async {
        let process = Process::start("platform", &["--token", "t"]);
        let pool = Pool::new(PoolSettings::default());
        let counts: shallottack_standins::platform::Counts =
            fetch_json(&pool, process.address, "/control/counts", None::<&()>).await.unwrap();
        assert_eq!(counts.writes, 0);
    });
}
