//! Stand-ins for the platform's store, servers and clients, and the daemons that a case starts.
//!
//! Only the standard library is used. All sockets are on the loopback interface.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep(millis: u64) {
    thread::sleep(ms(millis));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns whether the disruption of the case is left out.
pub fn calm() -> bool {
    std::env::var("TROUBLE").as_deref() == Ok("0")
}

// ---------------------------------------------------------------- record

/// Record of what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = fs::File::create(path).expect("the record can be written");
        Record { began: Instant::now(), lines: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.lines.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>7} ms  {text}", self.now());
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Json::value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(|it| it.is_ascii_whitespace()) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Json::space(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Json::value(bytes, at)? else { return None };
                            Json::space(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            map.insert(name, Json::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Json::space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(text).ok().map(Json::Text);
                        }
                        b'\\' => {
                            *at += 1;
                            match *bytes.get(*at)? {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let code = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?);
                                    let code = u32::from_str_radix(code.ok()?, 16).ok()?;
                                    let mut buffer = [0; 4];
                                    let letter = char::from_u32(code).unwrap_or('?');
                                    text.extend(letter.encode_utf8(&mut buffer).as_bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                            *at += 1;
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while bytes.get(*at).is_some_and(|it| b"+-0123456789.eE".contains(it)) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line without its line end.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Reads a message; `None` if the stream ends before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head is not complete"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("not a header"))?;
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid("length"))?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend(body);
    bytes
}

/// Serves each connection on `listener` in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(stream));
        }
    });
}

/// Sends a request on a connection of its own and returns the response.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(ms(1_000)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| invalid("closed without a response"))
}

// ---------------------------------------------------------------- the platform's store

#[derive(Debug, Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// Value in base64; `None` for a removed row.
    value: Option<String>,
    ver: u64,
}

impl Row {
    fn json(&self) -> String {
        let value = match &self.value {
            Some(value) => format!("\"value\":\"{value}\""),
            None => "\"deleted\":true".to_owned(),
        };
        let Row { table, part, key, ver, .. } = self;
        format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{ver}}}")
    }
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String, String), Row>,
    changes: Vec<Row>,
    ver: u64,
}

/// How the store treats its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Answers 503; nothing is done.
    Busy,
}

/// Stand-in for the platform's store with rows, transactions and a feed.
pub struct Store {
    pub address: SocketAddr,
    began: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    mode: Mutex<StoreMode>,
}

fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |it| it.1);
    let value = query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
    let value = value.map_or("", |it| it.1).replace('+', " ");
    let bytes = value.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = value.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (other, _) => {
                decoded.push(other);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().unwrap(),
            began: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            mode: Mutex::new(StoreMode::Up),
        });
        let served = Arc::clone(&store);
        serve(listener, move |stream| served.connection(stream));
        store
    }

    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Writes a row of the operator.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        Store::set(&mut rows, table, "", key, Some(base64(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Returns the number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        self.rows.lock().unwrap().rows.keys().filter(|it| it.0 == table).count()
    }

    fn set(rows: &mut Rows, table: &str, part: &str, key: &str, value: Option<String>) {
        let ver = rows.ver;
        let row = Row {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
            value,
            ver,
        };
        let place = (row.table.clone(), row.part.clone(), row.key.clone());
        match row.value {
            Some(_) => drop(rows.rows.insert(place, row.clone())),
            None => drop(rows.rows.remove(&place)),
        }
        rows.changes.push(row);
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(copy), stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            // An answer of a healthy store takes some milliseconds.
            sleep(4);
            let busy = || *self.mode.lock().unwrap() == StoreMode::Busy;
            let refused = (503, "{}".to_owned());
            let answer = if busy() { refused.clone() } else { self.answer(&request) };
            // A poll that was waiting when the store went away gets no rows; writes are done or refused.
            let polled = request.target().starts_with("/v1/rows-feed");
            let (status, body) = if polled && busy() { refused } else { answer };
            let kind = ("Content-Type", "application/json".to_owned());
            if writer.write_all(&response(status, &[kind], body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn tail(&self, rows: &Rows) -> String {
        format!("\"ver\":{},\"now\":\"{}ms\"", rows.ver, self.began.elapsed().as_millis())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let path = target.split('?').next().unwrap_or("");
        match path {
            "/v1/rows-get" => {
                let (table, part) = (query(target, "table"), query(target, "part"));
                let (from, to) = (query(target, "from"), query(target, "to"));
                let limit = query(target, "limit").parse().unwrap_or(500).min(500);
                let rows = self.rows.lock().unwrap();
                let found: Vec<String> = rows
                    .rows
                    .values()
                    .filter(|it| it.table == table && it.part == part && it.key >= from)
                    .filter(|it| to.is_empty() || it.key < to)
                    .map(Row::json)
                    .collect();
                let more = found.len() > limit;
                let list = found[..found.len().min(limit)].join(",");
                (200, format!("{{\"rows\":[{list}],\"has_more\":{more},{}}}", self.tail(&rows)))
            }
            "/v1/rows-feed" => {
                let table = query(target, "table");
                let after: u64 = query(target, "after").parse().unwrap_or(0);
                let wait = ms(query(target, "wait_ms").parse().unwrap_or(0));
                let began = Instant::now();
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let found: Vec<String> = rows
                        .changes
                        .iter()
                        .filter(|it| it.table == table && it.ver > after)
                        .map(Row::json)
                        .collect();
                    let left = wait.saturating_sub(began.elapsed());
                    let busy = *self.mode.lock().unwrap() == StoreMode::Busy;
                    if !found.is_empty() || left.is_zero() || busy {
                        let list = found.join(",");
                        return (200, format!("{{\"rows\":[{list}],{}}}", self.tail(&rows)));
                    }
                    rows = self.changed.wait_timeout(rows, left.min(ms(50))).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                    return (400, "{}".to_owned());
                };
                let mut rows = self.rows.lock().unwrap();
                let place = |it: &Json| {
                    let text = |name: &str| it.get(name).text().to_owned();
                    (text("table"), text("part"), text("key"))
                };
                let mut conflict = false;
                let mut found = Vec::new();
                for it in body.get("expected_rev").list() {
                    let row = rows.rows.get(&place(it));
                    conflict |= row.map_or(0, |it| it.ver) != it.get("ver").number();
                    found.extend(row.map(Row::json));
                }
                if conflict {
                    let list = found.join(",");
                    return (412, format!("{{\"rows\":[{list}],{}}}", self.tail(&rows)));
                }
                rows.ver += 1;
                for it in body.get("put_rows").list() {
                    let (table, part, key) = place(it);
                    let value = Some(it.get("value").text().to_owned());
                    Store::set(&mut rows, &table, &part, &key, value);
                }
                for it in body.get("remove").list() {
                    let (table, part, key) = place(it);
                    Store::set(&mut rows, &table, &part, &key, None);
                }
                self.changed.notify_all();
                (200, format!("{{{}}}", self.tail(&rows)))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------- servers

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: u64,
    pub id: String,
    /// Whether the server began to work on it.
    pub run: bool,
    pub caller: String,
}

/// Stand-in for a server beside a daemon.
pub struct Server {
    pub name: String,
    pub id: String,
    pub born: u64,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    work_ms: AtomicU64,
    running: AtomicU32,
    arrivals: Mutex<Vec<Arrival>>,
    /// Headers that all answers hold besides the usual ones.
    extra: Mutex<Vec<(String, String)>>,
    sequence: AtomicU64,
    beating: AtomicBool,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Server {
    pub fn start(record: &Record, name: &str, service: &str, slots: u32, work_ms: u64) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = unix_ms();
        let server = Arc::new(Server {
            name: name.to_owned(),
            id: format!("i-{name}{:06x}", born & 0xff_ffff),
            born,
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            slots,
            work_ms: AtomicU64::new(work_ms),
            running: AtomicU32::new(0),
            arrivals: Mutex::default(),
            extra: Mutex::default(),
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            record: record.clone(),
        });
        listener.set_nonblocking(true).expect("a listener that does not block");
        let served = Arc::clone(&server);
        thread::spawn(move || served.accept(listener));
        server
    }

    /// Accepts connections until the server ends; connections are refused from then on.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        while !self.ended.load(SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.streams.lock().unwrap().push(copy);
            }
            let server = Arc::clone(&self);
            thread::spawn(move || server.connection(stream));
        }
    }

    /// Ends the server: it closes all connections and accepts none.
    pub fn exit(&self) {
        self.stop_beats();
        self.ended.store(true, SeqCst);
        sleep(5);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.say(&format!("server {} exits", self.name));
    }

    pub fn set_work(&self, millis: u64) {
        self.work_ms.store(millis, SeqCst);
    }

    pub fn set_extra(&self, headers: &[(&str, &str)]) {
        let headers = headers.iter().map(|it| (it.0.to_owned(), it.1.to_owned()));
        *self.extra.lock().unwrap() = headers.collect();
    }

    pub fn arrivals(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.arrivals.lock().unwrap()
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(copy), stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let caller = request.header("caller-service").unwrap_or("").to_owned();
            let expected = request.header("target-instance").is_none_or(|it| it == self.id);
            if request.target() == "/health" {
                let headers = [("Instance-Id", self.id.clone())];
                if writer.write_all(&response(200, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let full = self.running.load(SeqCst) >= self.slots;
            let run = expected && !full;
            if run {
                self.running.fetch_add(1, SeqCst);
            }
            let at = self.record.now();
            self.arrivals().push(Arrival { at, id: id.clone(), run, caller });
            let line = format!("{} {} {}", request.method(), request.target(), id);
            let what = if run { "runs" } else { "rejects" };
            self.record.line(&format!("server {} {what} {line}", self.name));
            let mut headers = vec![("Request-Id", id.clone())];
            let extra = self.extra.lock().unwrap().clone();
            headers.extend(extra.iter().map(|it| (it.0.as_str(), it.1.clone())));
            let answer = if !expected {
                headers.push(("Instance-Id", self.id.clone()));
                response(421, &headers, b"")
            } else if full {
                headers.push(("Not-Executed", "1".to_owned()));
                response(503, &headers, b"")
            } else {
                sleep(self.work_ms.load(SeqCst));
                self.running.fetch_sub(1, SeqCst);
                headers.push(("Response-Signature", format!("sig.{id}")));
                response(200, &headers, format!("done by {}", self.name).as_bytes())
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, SeqCst) + 1
    }

    /// Sends one check-in and returns the status of its answer, 0 without one.
    pub fn check_in(&self, to: SocketAddr, state: &str, sequence: u64) -> u16 {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"capacity\":{},\"state\":\"{state}\",\"warmup_left\":\"0ms\",\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.slots, self.born
        );
        put_instance(to, &self.id, &body)
    }

    /// Sends the notice that the server leaves.
    pub fn leave(&self, to: SocketAddr) -> u16 {
        self.leave_as(to, self.born)
    }

    /// Sends the notice that the lifetime which started at `born` leaves.
    pub fn leave_as(&self, to: SocketAddr, born: u64) -> u16 {
        let body = format!("{{\"born\":{born}}}");
        let head = format!(
            "DELETE /v1/instances/{} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        call(to, head.as_bytes(), ms(1_000)).map_or(0, |it| it.status())
    }

    /// Sends check-ins in state ready every 1.5 s until [`Server::stop_beats`].
    pub fn start_beats(self: &Arc<Self>, to: SocketAddr) {
        let server = Arc::clone(self);
        thread::spawn(move || {
            while server.beating.load(SeqCst) {
                let sequence = server.next_sequence();
                let status = server.check_in(to, "ready", sequence);
                let line = format!("check-in {sequence} of {}: {status}", server.name);
                server.record.line(&line);
                for _ in 0..30 {
                    if server.beating.load(SeqCst) {
                        sleep(50);
                    }
                }
            }
        });
    }

    pub fn stop_beats(&self) {
        self.beating.store(false, SeqCst);
    }
}

/// Sends a check-in with any body.
pub fn put_instance(to: SocketAddr, id: &str, body: &str) -> u16 {
    let request = format!(
        "PUT /v1/instances/{id} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(to, request.as_bytes(), ms(1_000)).map_or(0, |it| it.status())
}

// ---------------------------------------------------------------- daemons

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address with a port that is free now, below those of outgoing connections.
pub fn free_address() -> SocketAddr {
    loop {
        let next = NEXT_PORT.fetch_add(1, SeqCst);
        let port = 12_000 + (std::process::id().wrapping_mul(67) + next * 7) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Folder for the settings and logs of one case, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A daemon process beside a server.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub heartbeats: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Daemon {
    /// Starts a daemon with the settings of a small deployment.
    pub fn start(record: &Record, folder: &Folder, store: &Store, server: &Server) -> Daemon {
        Daemon::start_at(record, folder, store, server, server.address)
    }

    /// Starts a daemon that reaches its server at `backend`.
    pub fn start_at(
        record: &Record,
        folder: &Folder,
        store: &Store,
        server: &Server,
        backend: SocketAddr,
    ) -> Daemon {
        let name = format!("sidecar-{}", server.name);
        let (callers, peers, ready) = (free_address(), free_address(), free_address());
        let (heartbeats, metrics) = (free_address(), free_address());
        let text = format!(
            "vm: \"{name}\"\ndata_centre: \"zone-a\"\nservice: \"{}\"\nbackend: \"{}\"\nlisten:\n  \
             callers: \"{callers}\"\n  peers: \"{peers}\"\n  ready: \"{ready}\"\n  heartbeats: \
             \"{heartbeats}\"\n  metrics: \"{metrics}\"\nstore: \"{}\"\nheartbeat: \"1500ms\"\n\
             link_mbps: 1000.0\nmemory_mb: 260\nstop:\n  grace: \"6s\"\nretries:\n  ratio: 0.2\n  \
             extra: 62\n  window: \"10s\"\n",
            server.service, backend, store.address
        );
        let settings = folder.0.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.0.join(format!("{name}.log"));
        let record = record.clone();
        let child = None;
        let mut daemon =
            Daemon { name, callers, ready, heartbeats, settings, log, child, record };
        daemon.run();
        daemon
    }

    /// Starts the process, also after it has ended.
    pub fn run(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/shallottackd")
            .arg("--fleet")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = match child {
            Ok(child) => {
                RUNNING.lock().unwrap().push(child.id());
                Some(child)
            }
            Err(error) => broken(&format!("the daemon does not start: {error}")),
        };
        self.record.say(&format!("{} starts", self.name));
    }

    /// Ends the process with SIGKILL, if it runs.
    fn end(&mut self) -> bool {
        let Some(mut child) = self.child.take() else { return false };
        RUNNING.lock().unwrap().retain(|it| *it != child.id());
        let _ = child.kill();
        let _ = child.wait();
        true
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if self.end() {
            self.record.say(&format!("{} is killed", self.name));
        }
    }

    /// Sends a signal.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started by this one and has not been waited for.
            unsafe { kill(child.id() as i32, number) };
            self.record.say(&format!("{} gets signal {number}", self.name));
        }
    }

    /// Waits for the end of the process after SIGTERM, for `limit` at most.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if let Some(child) = &mut self.child
                && let Ok(Some(_)) = child.try_wait()
            {
                RUNNING.lock().unwrap().retain(|it| *it != child.id());
                self.child = None;
                self.record.say(&format!("{} has ended", self.name));
                return true;
            }
            sleep(20);
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        call(self.ready, request, ms(500)).is_ok_and(|it| it.status() == 200)
    }

    pub fn wait_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep(50);
        }
        broken(&format!("{} does not become ready", self.name));
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

/// Ends the case as one that could not run.
pub fn broken(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    // Unwinds, so that the processes that were started are ended.
    std::panic::resume_unwind(Box::new(()));
}

/// Identifiers of the daemon processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case is ended as one that could not run.
const LONGEST: Duration = Duration::from_secs(110);

/// Runs a case, and ends the process with its status.
pub fn run_case(case: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        for pid in RUNNING.lock().unwrap().iter() {
            // SAFETY: the process was started by this one and has not been waited for.
            unsafe { kill(*pid as i32, SIGKILL) };
        }
        println!("the case could not run: it took too long");
        std::process::exit(2);
    });
    std::process::exit(std::panic::catch_unwind(case).unwrap_or(2));
}

// ---------------------------------------------------------------- clients

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Result of one request of a client.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    /// When it was sent.
    pub at: u64,
    /// Status, 0 without a whole answer.
    pub status: u16,
    pub signed: bool,
    pub headers: Vec<(String, String)>,
}

/// Sends a request to the daemon at `to` on a connection of its own.
pub fn request(
    record: &Record,
    to: &Daemon,
    method: &str,
    path: &str,
    deadline_ms: u64,
    body: &str,
) -> Outcome {
    request_at(record, to.callers, &to.name, method, path, deadline_ms, body)
}

pub fn request_at(
    record: &Record,
    callers: SocketAddr,
    name: &str,
    method: &str,
    path: &str,
    deadline_ms: u64,
    body: &str,
) -> Outcome {
    let id = format!("{:016x}", NEXT.fetch_add(1, SeqCst));
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: \
         {deadline_ms}\r\n{length}\r\n{body}"
    );
    let at = record.now();
    record.line(&format!("client sends {method} {path} {id} to {name}"));
    let answer = call(callers, text.as_bytes(), ms(deadline_ms + 1_500));
    let (status, headers) = match answer {
        Ok(answer) => (answer.status(), answer.headers),
        Err(error) => {
            record.line(&format!("client gets no answer to {id}: {error}"));
            (0, Vec::new())
        }
    };
    let signed = headers.iter().any(|it| it.0 == "response-signature");
    if status > 0 {
        record.line(&format!("client gets {status} to {id}, signed: {signed}"));
    }
    Outcome { id, at, status, signed, headers }
}
