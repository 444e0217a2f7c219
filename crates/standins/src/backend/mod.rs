//! Backend server with slots, queue, faults and a ledger of its runs.
//!
//! Any path outside those below is a call of the service. Request headers that it reads:
//!
//! - `idempotency-key`: key under which the ledger counts the run
//! - `shallottack-deadline-ms`: remaining time in milliseconds. A call that still waits for a slot
//!   when it passes is answered 503 with `shallottack-run: no`; a running call ends with 504 and
//!   `shallottack-run: unknown`.
//! - `standin-service-ms`: service time of this call instead of the drawn one
//! - `standin-bytes`: length of the padding in the response
//! - `standin-echo`: text that the response repeats in the header `standin-echo` and in its body
//!
//! Response headers:
//!
//! - `shallottack-run: no` on 503 for a call that was not run: shed (with `retry-after: 1`), over
//!   the connection limit, or past its deadline before it had a slot
//! - `shallottack-run: unknown` on 504 for a call that passed its deadline while it ran
//! - `standin-group`: group of the backend server
//! - `standin-run`: number of the run on this backend server
//!
//! A successful response is [`Reply`] as JSON. An injected error is a 500 after the run.
//!
//! Paths beside the calls:
//!
//! - `GET /health`: 200 or 503, as [`Faults::health`] and [`Faults::lag_ms`] have it
//! - `GET /load`: [`Load`] as JSON, as [`Faults::load`] and [`Faults::lag_ms`] have it
//! - `GET|POST /control/faults`: [`Faults`] as JSON; absent fields are off
//! - `GET /control/ledger`: [`Ledger`] as JSON
//! - `POST /control/drain`, `POST /control/crash`: end of the backend server; the response to a crash
//!   can be lost

mod announce;
mod ledger;
mod settings;
mod slots;
mod state;
mod status;
mod work;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{
    channel::Receiver,
    net::TcpListener,
    task::{self, JoinHandle},
};
use shallottack_http::{Limits, Serving, Stopped, Traffic, serve};
use tide::{Body, Request, Response, StatusCode};

pub use announce::{Announcement, Departure};
pub use ledger::{KeyRuns, Ledger};
pub use settings::{BackendSettings, Faults, HealthReport, LoadReport, ServiceTime};
use state::{Shared, State};
pub use status::Load;
pub use work::Reply;

/// How a backend server was told to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Leave, finish the calls in flight, then stop.
    Drain,
    /// Stop at once.
    Crash,
}

/// A running backend server. Dropping it closes all connections at once, as a crash does.
pub struct Backend {
    state: State,
    serving: Serving,
    ends: Receiver<End>,
    announcing: Option<JoinHandle<()>>,
}

impl Backend {
    /// Binds the address, starts to serve and announces itself when the settings name a daemon.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address can't be bound.
    pub async fn start(settings: BackendSettings) -> io::Result<Backend> {
        let listener = TcpListener::bind(settings.listen).await?;
        let limits = Limits {
            connections: settings.connections,
            cancel_on_close: settings.cancel,
            raw_connection: true,
            ..Limits::default()
        };
        let (shared, ends) = Shared::new(settings);
        let state = Arc::new(shared);
        let serving = serve(listener, app(Arc::clone(&state)), limits)?;
        let daemon = state.settings.announce;
        let announcing = daemon.map(|daemon| {
            task::spawn(announce::announce(Arc::clone(&state), daemon, serving.address()))
        });
        Ok(Backend { state, serving, ends, announcing })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Returns the counts of the listener.
    pub fn traffic(&self) -> Traffic {
        self.serving.traffic()
    }

    /// Returns the ledger so far.
    pub fn ledger(&self) -> Ledger {
        self.state.ledger().clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Waits until a control path asks for the end.
    pub async fn ended(&self) -> End {
        self.ends.recv().await.unwrap_or(End::Crash)
    }

    /// Leaves: tells the daemon (`POST /leave`), goes on serving for the drain time of the settings,
    /// then stops gracefully. The whole takes `limit` at most.
    pub async fn drain(mut self, limit: Duration) -> Stopped {
        let began = Instant::now();
        self.state.start_drain();
        self.stop_announcing().await;
        if let Some(daemon) = self.state.settings.announce {
            let leave = announce::leave(&self.state, daemon, self.address());
            // Without a daemon that takes the message, there is nobody to wait for.
            async_std::future::timeout(limit / 2, leave).await.ok();
            let left = limit.saturating_sub(began.elapsed());
            task::sleep(self.state.settings.drain.min(left)).await;
        }
        let Backend { serving, .. } = self;
        serving.stop(limit.saturating_sub(began.elapsed())).await
    }

    /// Ends at once: closes the listener and all connections.
    pub async fn crash(mut self) {
        self.stop_announcing().await;
    }

    async fn stop_announcing(&mut self) {
        if let Some(announcing) = self.announcing.take() {
            announcing.cancel().await;
        }
    }
}

fn app(state: State) -> tide::Server<State> {
    let mut app = tide::with_state(state);
    app.at("/health").get(status::health);
    app.at("/load").get(status::load);
    app.at("/control/faults").get(show_faults).post(set_faults);
    app.at("/control/ledger").get(async |request: Request<State>| {
        let ledger = request.state().ledger().clone();
        Body::from_json(&ledger)
    });
    app.at("/control/drain").post(async |request: Request<State>| end(&request, End::Drain));
    app.at("/control/crash").post(async |request: Request<State>| end(&request, End::Crash));
    app.at("/").all(work::call);
    app.at("/*").all(work::call);
    app
}

fn end(request: &Request<State>, end: End) -> tide::Result {
    request.state().ends.try_send(end).ok();
    Ok(Response::new(StatusCode::Accepted))
}

async fn show_faults(request: Request<State>) -> tide::Result<Body> {
    Body::from_json(&request.state().faults())
}

async fn set_faults(mut request: Request<State>) -> tide::Result {
    let faults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(StatusCode::NoContent))
}
