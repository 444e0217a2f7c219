//! Links on loopback with a rate or a delay, whose connections can be stalled or cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes that are forwarded at a time.
const PART: usize = 4 * 1024;
/// Bytes of one connection that are on the way, as by the window of a TCP connection.
const WINDOW: usize = 64 * 1024;

/// One direction of a VM's link, with one queue for all connections that cross it.
#[derive(Debug, Clone, Default)]
pub struct Queue(Arc<QueueState>);

#[derive(Debug, Default)]
struct QueueState {
    /// Rate in bytes per second, 0 without a limit.
    rate: AtomicU64,
    /// Time on the way in milliseconds, besides that in the queue.
    delay_ms: AtomicU64,
    /// When the link has carried what was sent so far.
    free_at: Mutex<Option<Instant>>,
    forwarded: AtomicU64,
}

impl Queue {
    /// Sets the rate in bytes per second that all connections share, 0 for none.
    pub fn limit(&self, rate: u64) {
        self.0.rate.store(rate, SeqCst);
    }

    /// Sets the time on the way.
    pub fn delay(&self, delay: Duration) {
        self.0.delay_ms.store(delay.as_millis() as u64, SeqCst);
    }

    /// Returns the number of bytes that were sent so far.
    pub fn forwarded(&self) -> u64 {
        self.0.forwarded.load(SeqCst)
    }

    /// Returns when bytes that are sent now arrive.
    fn arrival(&self, count: usize) -> Instant {
        self.0.forwarded.fetch_add(count as u64, SeqCst);
        let now = Instant::now();
        let delay = Duration::from_millis(self.0.delay_ms.load(SeqCst));
        let rate = self.0.rate.load(SeqCst);
        if rate == 0 {
            return now + delay;
        }
        let mut free_at = self.0.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = free_at.map_or(now, |it| it.max(now));
        let end = start + Duration::from_secs_f64(count as f64 / rate as f64);
        *free_at = Some(end);
        end + delay
    }
}

#[derive(Debug, Default)]
struct State {
    accepted: AtomicUsize,
    /// Number of the first connection that is not stalled.
    stalled_before: AtomicUsize,
    /// Rate towards the server in bytes per second of each connection, 0 without a limit.
    rate: AtomicU64,
    cut: AtomicBool,
}

/// Forwards the connections of a port to a server, over a queue in each direction.
#[derive(Debug)]
pub struct Proxy {
    /// Address of the port.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port, or if the server does not accept a connection.
    pub fn start(server: SocketAddr, to_server: &Queue, to_client: &Queue) -> Proxy {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound port has an address");
        let state = Arc::<State>::default();
        let shared = Arc::clone(&state);
        let queues = (to_server.clone(), to_client.clone());
        thread::spawn(move || {
            for client in listener.incoming() {
                let client = client.expect("a connection");
                let number = shared.accepted.fetch_add(1, SeqCst);
                let server = TcpStream::connect(server).expect("a connection to the server");
                for stream in [&client, &server] {
                    // A link does not wait for more bytes.
                    stream.set_nodelay(true).expect("an open connection");
                }
                let copy = |it: &TcpStream| it.try_clone().expect("a free descriptor");
                let both = [
                    (copy(&client), copy(&server), &queues.0, true),
                    (server, client, &queues.1, false),
                ];
                for (from, to, queue, limited) in both {
                    let (state, queue) = (Arc::clone(&shared), queue.clone());
                    thread::spawn(move || forward(&state, number, from, to, &queue, limited));
                }
            }
        });
        Proxy { address, state }
    }

    /// Returns the number of connections so far.
    pub fn accepted(&self) -> usize {
        self.state.accepted.load(SeqCst)
    }

    /// Sets the rate towards the server in bytes per second of each connection, 0 for none.
    pub fn limit(&self, rate: u64) {
        self.state.rate.store(rate, SeqCst);
    }

    /// Holds the bytes of all present connections back until [`Proxy::resume`].
    pub fn stall(&self) {
        self.state.stalled_before.store(self.accepted(), SeqCst);
    }

    /// Forwards bytes again.
    pub fn resume(&self) {
        self.state.stalled_before.store(0, SeqCst);
    }

    /// Ends all connections when their next byte comes.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, SeqCst);
    }
}

fn forward(
    state: &Arc<State>,
    number: usize,
    mut from: TcpStream,
    mut to: TcpStream,
    queue: &Queue,
    limited: bool,
) {
    let (sender, receiver) = mpsc::sync_channel::<(Instant, Vec<u8>)>(WINDOW / PART);
    let shared = Arc::clone(state);
    let source = from.try_clone();
    let writer = thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if shared.cut.load(SeqCst) || to.write_all(&bytes).is_err() {
                break;
            }
        }
        // Either side may have ended already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = source.map(|it| it.shutdown(Shutdown::Both));
    });
    let mut part = [0; PART];
    while let Ok(count @ 1..) = from.read(&mut part) {
        while number < state.stalled_before.load(SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let rate = state.rate.load(SeqCst);
        if limited && rate > 0 {
            thread::sleep(Duration::from_secs_f64(count as f64 / rate as f64));
        }
        if sender.send((queue.arrival(count), part[..count].to_vec())).is_err() {
            break;
        }
    }
    drop(sender);
    // It ends when it has sent the rest.
    let _ = writer.join();
}
