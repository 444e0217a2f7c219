//! Backend stand-in: slots, deadlines, ledger, faults and misleading endpoints.

use std::time::{Duration, Instant};

use async_std::task;
use futures_lite::future;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shallottack_http::Error;
use shallottack_standins::{
    BackendSettings,
    backend::{Faults, HealthReport, Load, LoadReport, ServiceTime},
    fetch_json,
};

use crate::setup::{Caller, PATIENCE, eventually, reply, settings, start, status};

const SHORT: Duration = Duration::from_millis(50);

/// A call over slots and queue must be shed as not run, and must not enter the ledger as a run.
#[test]
fn calls_over_slots_and_queue_are_shed_as_not_run() {
    task::block_on(async {
        let narrow = BackendSettings { slots: 1, queue: 1, ..settings() };
        let (backend, caller) = start(narrow).await;
        let held = [("standin-service-ms", "300")];
        let third = async {
            eventually(|| backend.ledger().arrived == 2).await;
            caller.call(&[("idempotency-key", "c")]).await
        };
        let two = future::zip(caller.call(&held), caller.call(&held));
        let ((first, second), third) = future::zip(two, third).await;
        assert_eq!((status(&first), status(&second)), (200, 200));
        assert_eq!(status(&third), 503);
        assert_eq!(third.header("shallottack-run"), Some("no"));
        assert_eq!(third.header("retry-after"), Some("1"));
        let ledger = backend.ledger();
        assert_eq!((ledger.arrived, ledger.shed, ledger.runs), (3, 1, 2));
        assert!(ledger.keys.is_empty());
    });
}

/// The ledger is the measure for calls that ran twice; it must count every run under its key.
#[test]
fn the_ledger_counts_each_run_under_its_key() {
    task::block_on(async {
        let (backend, caller) = start(settings()).await;
        for key in ["a", "b", "a"] {
            assert_eq!(reply(&caller.call(&[("idempotency-key", key)]).await).key.unwrap(), key);
        }
        let slow = [("idempotency-key", "b"), ("standin-service-ms", "60000")];
        caller.call_within(SHORT, &slow).await.unwrap_err();
        eventually(|| backend.ledger().cancelled == 1).await;
        let ledger: shallottack_standins::backend::Ledger =
            fetch_json(&caller.pool, caller.address, "/control/ledger", None::<&()>).await.unwrap();
        assert_eq!(ledger, backend.ledger());
        assert_eq!((ledger.keys["a"].runs, ledger.keys["a"].completed), (2, 2));
        assert_eq!((ledger.keys["b"].runs, ledger.keys["b"].completed), (2, 1));
    });
}

/// "Not run" must be true for a call that expired in the queue, and must not be said of one that
/// expired while it ran.
#[test]
fn deadlines_end_waiting_and_running_calls() {
    task::block_on(async {
        let narrow = BackendSettings { slots: 1, ..settings() };
        let (backend, caller) = start(narrow).await;
        let running = [("shallottack-deadline-ms", "400"), ("standin-service-ms", "60000")];
        let waiting = [("shallottack-deadline-ms", "20"), ("idempotency-key", "never")];
        let second = async {
            eventually(|| backend.ledger().runs == 1).await;
            caller.call(&waiting).await
        };
        let (first, second) = future::zip(caller.call(&running), second).await;
        assert_eq!((status(&first), first.header("shallottack-run")), (504, Some("unknown")));
        assert_eq!((status(&second), second.header("shallottack-run")), (503, Some("no")));
        let ledger = backend.ledger();
        assert_eq!((ledger.expired, ledger.runs, ledger.cancelled), (1, 1, 1));
        assert!(ledger.keys.is_empty());
    });
}

/// Work for a client that has gone must free its slot, unless the settings say otherwise.
#[test]
fn cancellation_frees_the_slot_unless_it_is_ignored() {
    task::block_on(async {
        for cancel in [true, false] {
            let (backend, caller) = start(BackendSettings { slots: 1, cancel, ..settings() }).await;
            let held = async { drop(caller.call(&[("standin-service-ms", "300")]).await) };
            // The call is dropped, and its connection closed, as soon as it runs.
            future::or(held, eventually(|| backend.ledger().runs == 1)).await;
            assert_eq!(status(&caller.call(&[]).await), 200);
            assert_eq!(backend.ledger().completed, if cancel { 1 } else { 2 });
        }
    });
}

#[test]
fn each_fault_shows_as_its_own_kind_of_failure() {
    task::block_on(async {
        let (backend, caller) = start(settings()).await;
        let set = |faults: Faults| backend.set_faults(faults);
        set(Faults { error_share: 1.0, ..Faults::default() });
        assert_eq!(status(&caller.call(&[]).await), 500);
        set(Faults { shed_share: 1.0, ..Faults::default() });
        assert_eq!(caller.call(&[]).await.header("shallottack-run"), Some("no"));
        set(Faults { half_share: 1.0, ..Faults::default() });
        let half = caller.call_within(PATIENCE, &[]).await.unwrap_err();
        assert!(matches!(half, Error::InvalidResponse(_)), "{half}");
        set(Faults { lost_share: 1.0, ..Faults::default() });
        let lost = caller.call_within(PATIENCE, &[]).await.unwrap_err();
        assert!(lost.may_have_reached(), "{lost}");
        set(Faults { late_share: 1.0, late_ms: 60_000, ..Faults::default() });
        let late = caller.call_within(SHORT, &[]).await.unwrap_err();
        assert_eq!(late, Error::TimedOut { sent: true });
        assert_eq!(backend.ledger().completed, 4);
        set(Faults { slow_ms: 60, ..Faults::default() });
        let began = Instant::now();
        caller.call(&[]).await;
        assert!(began.elapsed() >= Duration::from_millis(60));
    });
}

/// A frozen backend server accepts connections and answers nothing, but the test must still be able
/// to thaw it.
#[test]
fn a_freeze_stops_calls_and_health_but_not_control() {
    task::block_on(async {
        let (backend, caller) = start(settings()).await;
        let frozen = Faults { freeze: true, ..Faults::default() };
        let set = async |faults: &Faults| {
            let faults = Some(faults);
            fetch_json::<_, ()>(&caller.pool, caller.address, "/control/faults", faults).await
        };
        set(&frozen).await.unwrap();
        caller.call_within(SHORT, &[]).await.unwrap_err();
        assert_eq!(backend.ledger().runs, 0);
        let thaw = async {
            eventually(|| backend.ledger().arrived == 2).await;
            set(&Faults::default()).await.unwrap();
        };
        let ((answer, health), ()) =
            future::zip(future::zip(caller.call(&[]), caller.get("/health")), thaw).await;
        assert_eq!((status(&answer), status(&health)), (200, 200));
    });
}

/// Health and load must be able to mislead, by their age and by their content.
#[test]
fn health_and_load_lag_and_mislead() {
    task::block_on(async {
        let cold = BackendSettings { cold_start: SHORT, ..settings() };
        let (backend, caller) = start(cold).await;
        assert_eq!(status(&caller.get("/health").await), 503);
        while status(&caller.get("/health").await) != 200 {
            task::sleep(Duration::from_millis(1)).await;
        }
        let lagging = Faults { lag_ms: 50_000, ..Faults::default() };
        let lying = Faults { health: HealthReport::Up, load: LoadReport::Full, ..lagging.clone() };
        let load =
            async || serde_json::from_slice::<Load>(&caller.get("/load").await.body).unwrap();
        let checks = async {
            eventually(|| backend.ledger().runs == 1).await;
            assert_eq!(load().await, Load { slots: 12, busy: 1, waiting: 0 });
            backend.set_faults(lagging);
            assert_eq!(load().await, Load { slots: 12, busy: 0, waiting: 0 });
            assert_eq!(status(&caller.get("/health").await), 503);
            backend.set_faults(lying);
            assert_eq!(load().await, Load { slots: 12, busy: 12, waiting: 24 });
            assert_eq!(status(&caller.get("/health").await), 200);
        };
        future::zip(caller.call(&[("standin-service-ms", "200")]), checks).await;
    });
}

#[test]
fn a_cold_backend_is_slower() {
    task::block_on(async {
        let cold = BackendSettings {
            cold_start: Duration::from_secs(3600),
            cold_factor: 10.0,
            service_time: Duration::from_millis(5),
            ..settings()
        };
        let (_backend, caller) = start(cold).await;
        let began = Instant::now();
        caller.call(&[]).await;
        assert!(began.elapsed() >= Duration::from_millis(45), "{:?}", began.elapsed());
    });
}

/// The connection limit must refuse, and the refusal must say that nothing ran.
#[test]
fn a_connection_over_the_limit_is_not_run() {
    task::block_on(async {
        let (backend, caller) = start(BackendSettings { connections: 2, ..settings() }).await;
        caller.pool.preconnect(caller.address, 2).await.unwrap();
        eventually(|| backend.traffic().open == 2).await;
        let other = Caller { pool: shallottack_http::Pool::new(Default::default()), ..caller };
        let refused = other.call(&[]).await;
        assert_eq!((status(&refused), refused.header("shallottack-run")), (503, Some("no")));
        assert_eq!(backend.ledger().arrived, 0);
    });
}

/// With lost, late and cut responses on shared connections, no caller may receive the response to
/// another request.
#[test]
fn callers_receive_only_their_own_responses() {
    task::block_on(async {
        let faults = Faults {
            half_share: 0.1,
            lost_share: 0.1,
            late_share: 0.1,
            late_ms: 600,
            ..Faults::default()
        };
        let (backend, caller) = start(BackendSettings { faults, seed: 7, ..settings() }).await;
        let caller_task = |number: usize| {
            let caller = caller.clone();
            task::spawn(async move {
                let mut complete = 0;
                for call in 0..30 {
                    let echo = format!("{number}-{call}");
                    let headers = [("standin-echo", echo.as_str())];
                    let within = Duration::from_millis(300);
                    if let Ok(answer) = caller.call_within(within, &headers).await {
                        assert_eq!(reply(&answer).echo.as_deref(), Some(echo.as_str()));
                        complete += 1;
                    }
                }
                complete
            })
        };
        let tasks: Vec<_> = (0..8).map(caller_task).collect();
        let mut complete = 0;
        for task in tasks {
            complete += task.await;
        }
        assert!((120..240).contains(&complete), "{complete} of 240 complete");
        assert!(backend.ledger().runs >= 200);
    });
}

/// All distributions must have the mean that the settings name.
#[test]
fn service_times_have_the_configured_mean() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mean = Duration::from_millis(5);
    for form in [ServiceTime::Fixed, ServiceTime::Exponential, ServiceTime::LogNormal] {
        let total: Duration = (0..20_000).map(|_| form.draw(mean, &mut rng)).sum();
        let ratio = total.div_duration_f64(mean * 20_000);
        assert!((0.95..1.05).contains(&ratio), "{form:?}: {ratio}");
    }
}
