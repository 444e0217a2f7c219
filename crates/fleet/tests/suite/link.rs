//! Large and small responses on one slow link, simulated in virtual time.

use std::collections::VecDeque;

use rand::RngExt;
use shallottack_fleet::Link;

use crate::fixture::{at, ms, rng};

const LINK_KBPS: u32 = 10_000;
const BYTES_PER_MS: usize = LINK_KBPS as usize / 8;
const LARGE: usize = 90_000;
const SMALL: usize = 1_500;
/// Part of a message after which the next message on the link has its turn.
const PART: usize = 16 * 1024;
const SECONDS: u64 = 30;
/// Large responses per second, in clumps of three; they fill 0.6 of the link.
const LARGE_PER_S: f64 = 8.4;
const SMALL_PER_S: f64 = 60.0;

/// Message on the link.
struct Message {
    began: u64,
    bytes: usize,
    left: usize,
    part_left: usize,
}

impl Message {
    fn new(began: u64, bytes: usize) -> Message {
        Message { began, bytes, left: bytes, part_left: PART }
    }
}

/// Returns the 95th percentiles of the delays of small and large responses in milliseconds.
fn delays(seed: u64, paced: bool) -> (u64, u64) {
    let mut rng = rng(seed);
    let mut link = Link::new(LINK_KBPS);
    let mut held: Vec<(u64, Message)> = Vec::new();
    let mut queue: VecDeque<Message> = VecDeque::new();
    let (mut small, mut large) = (Vec::new(), Vec::new());
    for now in 0..SECONDS * 1_000 {
        let mut send = |bytes| {
            let wait = link.send(at(now), bytes).as_millis() as u64;
            held.push((if paced { now + wait } else { now }, Message::new(now, bytes)));
        };
        if rng.random_bool(LARGE_PER_S / 3.0 / 1_000.0) {
            (0..3).for_each(|_| send(LARGE));
        }
        if rng.random_bool(SMALL_PER_S / 1_000.0) {
            send(SMALL);
        }
        queue.extend(held.extract_if(.., |it| it.0 <= now).map(|it| it.1));
        let mut room = BYTES_PER_MS;
        while room > 0
            && let Some(mut message) = queue.pop_front()
        {
            let sent = room.min(message.left).min(message.part_left);
            room -= sent;
            message.left -= sent;
            message.part_left -= sent;
            if message.left == 0 {
                let delays = if message.bytes == SMALL { &mut small } else { &mut large };
                delays.push(now - message.began);
            } else if message.part_left == 0 {
                queue.push_back(Message { part_left: PART, ..message });
            } else {
                queue.push_front(message);
            }
        }
    }
    let percentile = |mut it: Vec<u64>| {
        it.sort_unstable();
        it[it.len() * 95 / 100]
    };
    (percentile(small), percentile(large))
}

/// Guards against small answers that wait behind several large ones on a slow link. The calls of
/// running requests then miss their goals, and their callers keep the slots of the calling service.
#[test]
fn small_answers_are_not_held_behind_large_ones() {
    for seed in 0..5 {
        let (paced, unpaced) = (delays(seed, true), delays(seed, false));
        // A part of one large message takes 13 ms.
        assert!(paced.0 <= 26, "seed {seed}: {paced:?}");
        assert!(unpaced.0 > paced.0 * 3 / 2, "seed {seed}: {unpaced:?} {paced:?}");
        assert!(paced.1 < unpaced.1 * 3 / 2, "seed {seed}: {paced:?} {unpaced:?}");
    }
}

/// Guards against large messages that are held back on an idle link or for ever.
#[test]
fn backlog_drains_with_time() {
    let mut link = Link::new(LINK_KBPS);
    assert!(link.send(at(0), LARGE).is_zero());
    let backlog = link.backlog(at(0));
    assert!(backlog >= ms(72) && backlog <= ms(144), "{backlog:?}");
    assert_eq!(link.send(at(40), LARGE), backlog - ms(40));
    assert!(link.backlog(at(1_000)).is_zero());
    assert!(link.send(at(1_000), LARGE).is_zero());
}
