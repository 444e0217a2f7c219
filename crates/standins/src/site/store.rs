//! The platform's table service, in memory.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use url::Url;

use super::http::{Received, Reply, serve};

/// Time after which a call that began while the store was silent ends without an answer.
const SILENCE: Duration = Duration::from_secs(60);

/// Rows of a store at one moment.
#[derive(Clone, Default)]
pub struct StoreCopy {
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
}

#[derive(Default)]
struct State {
    /// Number of times that the store was restored.
    era: u64,
    /// Version, then value, by table and key.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
    down: bool,
    /// Number of calls that wait for changes, by table.
    waiting: BTreeMap<String, usize>,
    /// Whether calls that begin now are never answered.
    silent: bool,
    /// Entries that answers about a table hold as they are, before its rows.
    odd: Vec<(String, String)>,
}

/// Table service on a loopback port.
#[derive(Clone)]
pub struct SiteStore {
    address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl SiteStore {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be opened.
    pub fn start() -> io::Result<SiteStore> {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let served = Arc::clone(&state);
        let address = serve(move |request| answer(&served, &request))?;
        Ok(SiteStore { address, state })
    }

    /// Returns the address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row as operators do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let value = Some(STANDARD.encode(value.to_string()));
        put(&mut lock(&self.state), table, key, value);
        self.state.1.notify_all();
    }

    /// Removes a row as operators do.
    pub fn remove(&self, table: &str, key: &str) {
        put(&mut lock(&self.state), table, key, None);
        self.state.1.notify_all();
    }

    /// Writes the encoded value of a row.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        put(&mut lock(&self.state), table, key, Some(STANDARD.encode(value)));
        self.state.1.notify_all();
    }

    /// Lists `entry` as it is before the rows of a table from now on.
    pub fn put_odd(&self, table: &str, entry: &str) {
        lock(&self.state).odd.push((table.to_owned(), entry.to_owned()));
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        let (_, value) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        STANDARD.decode(value.as_ref()?).ok()
    }

    /// Returns a copy of the rows.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state);
        StoreCopy { rows: state.rows.clone(), version: state.version }
    }

    /// Returns to an earlier copy: later rows are gone, and their versions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = lock(&self.state);
        (state.rows, state.version) = (copy.rows.clone(), copy.version);
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Opens another address of the store, which can refuse those who use it while the others are
    /// served.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be opened.
    pub fn view(&self) -> io::Result<StoreView> {
        let (served, down) = (Arc::clone(&self.state), Arc::<AtomicBool>::default());
        let refuses = Arc::clone(&down);
        let address = serve(move |request| {
            let answer = answer(&served, &request);
            // Looked at last, so that a feed that waited does not tell what is new.
            if refuses.load(SeqCst) { reply(503, &json!({})) } else { answer }
        })?;
        Ok(StoreView { address, down })
    }

    /// Never answers calls that begin while `silent`; those in progress go on.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// Returns how many calls wait for changes of a table.
    pub fn waiting(&self, table: &str) -> usize {
        lock(&self.state).waiting.get(table).copied().unwrap_or(0)
    }

    /// Refuses all calls of daemons while `down`.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
        self.state.1.notify_all();
    }
}

/// Another address of a store.
pub struct StoreView {
    address: SocketAddr,
    down: Arc<AtomicBool>,
}

impl StoreView {
    /// Returns the address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses all calls at this address while `down`.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, SeqCst);
    }
}

fn lock(state: &(Mutex<State>, Condvar)) -> MutexGuard<'_, State> {
    state.0.lock().unwrap_or_else(PoisonError::into_inner)
}

fn put(state: &mut State, table: &str, key: &str, value: Option<String>) -> u64 {
    state.version += 1;
    let version = state.version;
    state.rows.insert((table.to_owned(), key.to_owned()), (version, value));
    version
}

fn answer(state: &(Mutex<State>, Condvar), request: &Received) -> Reply {
    let mut reply = answer_call(state, request);
    if let Reply::Answer { headers, .. } = &mut reply {
        headers.push(("store-era".to_owned(), lock(state).era.to_string()));
    }
    reply
}

fn answer_call(state: &(Mutex<State>, Condvar), request: &Received) -> Reply {
    let url = Url::parse("http://store").and_then(|it| it.join(&request.target));
    let Ok(url) = url else { return reply(400, &json!({})) };
    let pairs: BTreeMap<String, String> = url.query_pairs().into_owned().collect();
    let text = |name: &str| pairs.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    {
        let guard = lock(state);
        if guard.down {
            return reply(503, &json!({}));
        }
        if guard.silent {
            drop(guard);
            // The caller has given up by then.
            thread::sleep(SILENCE);
            return Reply::Cut("");
        }
    }
    match url.path() {
        "/v1/rows-get" => {
            let state = lock(state);
            let table = text("table");
            reply_rows(&state, &table, &rows(&state, &table, 0, false))
        }
        "/v1/rows-feed" => feed(state, &text("table"), number("after"), number("wait_ms")),
        "/v1/rows-tx" => transaction(state, &request.body),
        _ => reply(404, &json!({})),
    }
}

fn feed(state: &(Mutex<State>, Condvar), table: &str, after: u64, wait_ms: u64) -> Reply {
    *lock(state).waiting.entry(table.to_owned()).or_default() += 1;
    let reply = wait_for_changes(state, table, after, wait_ms);
    *lock(state).waiting.entry(table.to_owned()).or_default() -= 1;
    reply
}

fn wait_for_changes(
    state: &(Mutex<State>, Condvar),
    table: &str,
    after: u64,
    wait_ms: u64,
) -> Reply {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    let mut guard = lock(state);
    loop {
        if guard.down {
            return reply(503, &json!({}));
        }
        if after > guard.version {
            return reply(410, &json!({}));
        }
        let body = rows(&guard, table, after, true);
        let left = end.saturating_duration_since(Instant::now());
        if body["rows"].as_array().is_some_and(|it| !it.is_empty()) || left.is_zero() {
            return reply_rows(&guard, table, &body);
        }
        guard = state.1.wait_timeout(guard, left).map_or_else(|it| it.into_inner().0, |it| it.0);
    }
}

fn transaction(state: &(Mutex<State>, Condvar), body: &[u8]) -> Reply {
    let Ok(body) = serde_json::from_slice::<Value>(body) else { return reply(400, &json!({})) };
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let place = |it: &Value| {
        let text = |name: &str| it[name].as_str().unwrap_or_default().to_owned();
        (text("table"), text("key"))
    };
    let mut guard = lock(state);
    for condition in list("expected_rev") {
        let (table, key) = place(&condition);
        let found = guard.rows.get(&(table.clone(), key.clone()));
        let version = found.filter(|it| it.1.is_some()).map_or(0, |it| it.0);
        if condition["ver"].as_u64() != Some(version) {
            let row = json!({"table": table, "part": "", "key": key, "ver": version});
            return reply(412, &json!({"rows": [row]}));
        }
    }
    let mut version = guard.version;
    for entry in list("put_rows") {
        let (table, key) = place(&entry);
        let value = entry["value"].as_str().map(str::to_owned);
        version = put(&mut guard, &table, &key, value);
    }
    for entry in list("remove") {
        let (table, key) = place(&entry);
        version = put(&mut guard, &table, &key, None);
    }
    state.1.notify_all();
    reply(200, &json!({"ver": version, "now": "1ms"}))
}

fn rows(state: &State, table: &str, after: u64, removed: bool) -> Value {
    let mut rows: Vec<(u64, Value)> = state
        .rows
        .iter()
        .filter(|((name, _), (version, value))| {
            name == table && *version > after && (removed || value.is_some())
        })
        .map(|((_, key), (version, value))| {
            let row = match value {
                Some(value) => json!({"key": key, "value": value, "ver": version}),
                None => json!({"key": key, "ver": version, "deleted": true}),
            };
            (*version, row)
        })
        .collect();
    rows.sort_by_key(|it| it.0);
    let rows: Vec<Value> = rows.into_iter().map(|it| it.1).collect();
    json!({"rows": rows, "has_more": false, "ver": state.version, "now": "1ms"})
}

/// Answers with the odd entries of a table before its rows.
fn reply_rows(state: &State, table: &str, body: &Value) -> Reply {
    let odd = state.odd.iter().filter(|it| it.0 == table).map(|it| format!("{},", it.1));
    let mut text = body.to_string();
    if body["rows"].as_array().is_some_and(|it| !it.is_empty()) {
        text = text.replacen("\"rows\":[", &format!("\"rows\":[{}", odd.collect::<String>()), 1);
    }
    Reply::Answer { status: 200, headers: Vec::new(), body: text.into_bytes() }
}

fn reply(status: u16, body: &Value) -> Reply {
    Reply::Answer { status, headers: Vec::new(), body: body.to_string().into_bytes() }
}
