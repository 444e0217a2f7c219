//! The platform's table service, in memory.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, serve},
    json::{Json, base64},
};

/// Time that a transaction takes, as in the settings of the sites.
const TX_TIME: Duration = Duration::from_millis(8);
/// Most rows of a page.
const PAGE_ROWS: usize = 500;

#[derive(Default)]
struct State {
    /// Version, then value, by table and key; a removed row has no value.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
    /// Whether all calls are refused with 503.
    down: bool,
}

/// Table service on a loopback port.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    began: Instant,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Store { address, state: Arc::default(), began: Instant::now() };
        let served = store.clone();
        serve(listener, move |connection| served.handle(connection));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as operators do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        put(&mut self.lock(), table, key, Some(base64(value.as_bytes())));
        self.state.1.notify_all();
    }

    /// Refuses all calls of daemons with 503 while `down`.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.state.1.notify_all();
    }

    fn handle(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.receive(None) {
            let (status, body) = self.answer(&request);
            let start = format!("HTTP/1.1 {status} -");
            let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
            let answer = Message { start, headers, body: body.into_bytes() };
            if connection.send(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.lock().down {
            return (503, "{}".to_owned());
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let answer = match path {
            "/v1/rows-tx" => self.transact(request),
            "/v1/rows-get" => self.read(query),
            "/v1/rows-feed" => self.feed(query),
            _ => (404, "{}".to_owned()),
        };
        // A feed that waited while the store went down tells nothing.
        if self.lock().down { (503, "{}".to_owned()) } else { answer }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        std::thread::sleep(TX_TIME);
        let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let place = |it: &Json| (it.text("table"), it.text("key"));
        let current = |state: &State, it: &Json| {
            state.rows.get(&place(it)).filter(|it| it.1.is_some()).map_or(0, |it| it.0)
        };
        let expected = call.list("expected_rev");
        if expected.iter().any(|it| current(&state, it) != it.number("ver")) {
            let rows: Vec<String> = expected
                .iter()
                .map(|it| {
                    let (table, key) = place(it);
                    row_json(&table, &key, current(&state, it), None)
                })
                .collect();
            return (412, format!("{{\"rows\":[{}]}}", rows.join(",")));
        }
        for it in call.list("put_rows") {
            let (table, key) = place(it);
            put(&mut state, &table, &key, Some(it.text("value")));
        }
        for it in call.list("remove") {
            let (table, key) = place(it);
            put(&mut state, &table, &key, None);
        }
        let body = format!("{{\"ver\":{},\"now\":\"{}\"}}", state.version, self.now());
        self.state.1.notify_all();
        (200, body)
    }

    fn read(&self, query: &str) -> (u16, String) {
        let (table, from) = (parameter(query, "table"), parameter(query, "from"));
        let limit = parameter(query, "limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let state = self.lock();
        let found = state
            .rows
            .iter()
            .filter(|(place, row)| place.0 == table && place.1 >= from && row.1.is_some());
        let mut rows: Vec<String> = found
            .map(|(place, row)| row_json(&place.0, &place.1, row.0, row.1.as_deref()))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        (200, self.page(&rows, more, state.version))
    }

    fn feed(&self, query: &str) -> (u16, String) {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter(query, "wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let mut changed: Vec<_> = state
                .rows
                .iter()
                .filter(|(place, row)| place.0 == table && row.0 > after)
                .collect();
            changed.sort_by_key(|it| it.1.0);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() || state.down {
                let rows: Vec<String> = changed
                    .iter()
                    .map(|(place, row)| row_json(&place.0, &place.1, row.0, row.1.as_deref()))
                    .collect();
                return (200, self.page(&rows, false, state.version));
            }
            state =
                self.state.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn page(&self, rows: &[String], more: bool, version: u64) -> String {
        let (rows, now) = (rows.join(","), self.now());
        format!("{{\"rows\":[{rows}],\"has_more\":{more},\"ver\":{version},\"now\":\"{now}\"}}")
    }

    fn now(&self) -> String {
        format!("{}ms", self.began.elapsed().as_millis())
    }
}

fn put(state: &mut State, table: &str, key: &str, value: Option<String>) {
    state.version += 1;
    let version = state.version;
    state.rows.insert((table.to_owned(), key.to_owned()), (version, value));
}

fn row_json(table: &str, key: &str, version: u64, value: Option<&str>) -> String {
    let place = format!("\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version}");
    match value {
        Some(value) => format!("{{{place},\"value\":\"{value}\"}}"),
        None => format!("{{{place},\"deleted\":true}}"),
    }
}

/// Returns a parameter of a query, decoded.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    let value = pairs.filter(|it| it.0 == name).map(|it| it.1).next().unwrap_or("");
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        let digits = if byte == b'%' { rest.next().zip(rest.next()) } else { None };
        match digits {
            Some((high, low)) => {
                let text = [high, low];
                let text = String::from_utf8_lossy(&text);
                bytes.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
            }
            None => bytes.push(if byte == b'+' { b' ' } else { byte }),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
