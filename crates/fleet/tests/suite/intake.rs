//! Bodies that other daemons send over one slow link, in virtual time.

use std::{collections::HashMap, sync::Arc, time::Duration};

use proptest::prelude::*;
use rand::RngExt;
use shallottack_fleet::{BodyDecision, BodyOffer, BodyWake, Intake, Rank, TaskId};

use crate::fixture::{at, ms, rng};

const LINK_KBPS: u32 = 10_000;
const BYTES_PER_MS: usize = LINK_KBPS as usize / 8;
/// Part of a body that its sender has on the way before it is read.
const WINDOW: usize = 16 * 1024;
/// Bodies that are granted at the same time on this link.
const TURNS: usize = 2;
/// Time without a byte after which a body no longer holds a turn, in milliseconds.
const STALL: u64 = 250;

fn offer(task: u64, bytes: usize, priority: u8, sender: &str, within: u64) -> BodyOffer {
    BodyOffer {
        task: TaskId(task),
        bytes,
        rank: Rank::new(None, priority),
        sender: Arc::from(sender),
        goal: at(within),
        max_wait: ms(within),
    }
}

/// Returns the tasks that are granted.
fn granted(wakes: &[BodyWake]) -> Vec<u64> {
    let task = |it: &BodyWake| match it {
        BodyWake::Grant(task) => Some(task.0),
        BodyWake::Refuse(..) => None,
    };
    wakes.iter().filter_map(task).collect()
}

/// Guards against bodies of less urgent requests that go first, and against a sender that takes the
/// turns of another one by sending more.
#[test]
fn urgent_bodies_go_first_and_senders_take_turns() {
    let mut intake = Intake::new(LINK_KBPS);
    for task in 0..2 {
        assert_eq!(intake.offer(at(0), offer(task, 60_000, 1, "a", 4_000)), BodyDecision::Grant);
    }
    for (task, priority, sender) in [(2, 1, "a"), (3, 1, "a"), (4, 1, "b"), (5, 0, "a")] {
        let offer = offer(task, 60_000, priority, sender, 4_000);
        assert_eq!(intake.offer(at(0), offer), BodyDecision::Wait);
    }
    let mut order = Vec::new();
    for task in [0, 1, 5, 4] {
        order.extend(granted(&intake.end(at(10), TaskId(task))));
    }
    assert_eq!(order, [5, 4, 2, 3]);
}

/// Guards against a body that waits though it can't have its turn in time, and against one that is never
/// served since its own transfer takes long.
#[test]
fn body_that_would_wait_for_too_long_is_refused_at_once() {
    let mut intake = Intake::new(LINK_KBPS);
    // 60 kB take 60 ms at eight tenths of the link.
    assert_eq!(intake.offer(at(0), offer(0, 60_000, 1, "a", 50)), BodyDecision::Grant);
    assert_eq!(intake.offer(at(0), offer(1, 6_000_000, 1, "a", 50)), BodyDecision::Grant);
    intake.end(at(0), TaskId(1));
    assert_eq!(intake.offer(at(0), offer(1, 60_000, 1, "a", 50)), BodyDecision::Grant);
    let late = intake.offer(at(0), offer(2, 60_000, 1, "a", 90));
    assert_eq!(late, BodyDecision::Refuse { retry_after: ms(30) });
    assert_eq!(intake.offer(at(0), offer(3, 60_000, 1, "a", 140)), BodyDecision::Wait);
    assert!(intake.advance(at(140)).is_empty());
    let wakes = intake.advance(at(141));
    assert!(matches!(wakes[..], [BodyWake::Refuse(TaskId(3), _)]), "{wakes:?}");
    assert_eq!(intake.waiting(), 0);
}

/// Guards against a sender that stops, or is cut off, after the grant: the link must not stay idle
/// until its connection is found dead.
#[test]
fn sender_that_stops_holds_no_turn() {
    let mut intake = Intake::new(LINK_KBPS);
    for task in 0..2 {
        assert_eq!(intake.offer(at(0), offer(task, 60_000, 1, "a", 9_000)), BodyDecision::Grant);
    }
    assert_eq!(intake.offer(at(0), offer(2, 60_000, 1, "a", 9_000)), BodyDecision::Wait);
    assert!(intake.advance(at(STALL - 1)).is_empty());
    assert_eq!(granted(&intake.advance(at(STALL))), [2]);
    // Its connection ends later.
    intake.end(at(5_000), TaskId(0));
    intake.end(at(5_000), TaskId(1));
    intake.end(at(5_000), TaskId(2));
    assert_eq!((intake.granted(), intake.waiting(), intake.on_way()), (0, 0, 0));
    assert!(intake.backlog().is_zero());
}

/// A sender of a body.
#[derive(Debug, Clone)]
struct Sender {
    at: u64,
    bytes: usize,
    priority: u8,
    within: u64,
    /// Number of bytes after which it dies or is cut off, and whether that shows at once.
    dies: Option<(usize, bool)>,
}

fn sender() -> impl Strategy<Value = Sender> {
    let dies = prop::option::weighted(0.2, (0_usize..200_000, any::<bool>()));
    (0_u64..4_000, 16_384_usize..360_000, 0_u8..3, 300_u64..4_000, dies).prop_map(
        |(at, bytes, priority, within, dies)| Sender { at, bytes, priority, within, dies },
    )
}

/// State of a body in the simulation.
#[derive(Debug, Default, Clone)]
struct Body {
    granted: Option<u64>,
    sent: usize,
    received: usize,
    ended: Option<u64>,
    refused: Option<u64>,
}

proptest! {
    /// Guards against more bytes on the way to one VM than its link carries in some tens of
    /// milliseconds, whoever sends them and however senders end; against a body that waits for ever;
    /// and against anything that is kept of a sender that has ended.
    #[test]
    fn bytes_on_the_way_are_bounded(senders in prop::collection::vec(sender(), 1..80)) {
        let mut intake = Intake::new(LINK_KBPS);
        let mut bodies = vec![Body::default(); senders.len()];
        let mut queue: std::collections::VecDeque<(usize, usize)> = Default::default();
        let mut wakes = Vec::new();
        for now in 0..20_000_u64 {
            for (task, it) in senders.iter().enumerate().filter(|it| it.1.at == now) {
                let name = format!("o{}", task % 7);
                let offer = offer(task as u64, it.bytes, it.priority, &name, it.within);
                match intake.offer(at(now), offer) {
                    BodyDecision::Grant => bodies[task].granted = Some(now),
                    BodyDecision::Wait => {}
                    BodyDecision::Refuse { .. } => bodies[task].refused = Some(now),
                }
            }
            if now % 50 == 0 {
                wakes.extend(intake.advance(at(now)));
            }
            for wake in wakes.drain(..) {
                match wake {
                    BodyWake::Grant(task) => bodies[task.0 as usize].granted = Some(now),
                    BodyWake::Refuse(task, _) => bodies[task.0 as usize].refused = Some(now),
                }
            }
            for (task, (it, body)) in senders.iter().zip(&mut bodies).enumerate() {
                if body.granted.is_none() || body.ended.is_some() {
                    continue;
                }
                let most = it.dies.map_or(it.bytes, |it| it.0).min(it.bytes);
                let part = most.min(body.received + WINDOW).saturating_sub(body.sent);
                if part > 0 {
                    body.sent += part;
                    queue.push_back((task, part));
                }
                // A death that does not show at once is found by a ping 6 s later at most.
                let dead = body.received >= most && most < it.bytes;
                let shows = it.dies.is_some_and(|it| it.1) || now > body.granted.unwrap() + 6_000;
                if body.received == it.bytes || (dead && shows) {
                    body.ended = Some(now);
                    wakes.extend(intake.end(at(now), TaskId(task as u64)));
                }
            }
            let mut room = BYTES_PER_MS;
            while room > 0 && let Some((task, bytes)) = queue.pop_front() {
                let carried = room.min(bytes);
                room -= carried;
                bodies[task].received += carried;
                intake.record_arrival(at(now), TaskId(task as u64), carried);
                if carried < bytes {
                    queue.push_front((task, bytes - carried));
                }
            }
            let on_way: usize = queue.iter().map(|it| it.1).sum();
            prop_assert!(on_way <= (TURNS + 1) * WINDOW, "{on_way} bytes on the way at {now}");
        }
        for (it, body) in senders.iter().zip(&bodies) {
            let decided = body.granted.or(body.refused);
            prop_assert!(decided.is_some_and(|at| at <= it.at + it.within + 50), "{it:?} {body:?}");
            if it.dies.is_none() && body.refused.is_none() {
                prop_assert!(body.ended.is_some(), "{it:?} {body:?}");
            }
        }
        prop_assert_eq!((intake.granted(), intake.waiting(), intake.on_way()), (0, 0, 0));
    }
}

/// Replays uploads at 2.2 times what a link of 10 Mbit/s carries, in three ranks and of ten senders of
/// which one sends half. Guards against a link that is idle while bodies wait, against bodies that are
/// granted and come too late, and against a rank that is starved.
#[test]
fn overloaded_link_carries_what_is_in_time() {
    let mut rng = rng(7);
    let mut intake = Intake::new(LINK_KBPS);
    let (mut left, mut due): (HashMap<u64, usize>, HashMap<u64, u64>) = Default::default();
    let (mut ranks, mut sizes): (HashMap<u64, u8>, HashMap<u64, usize>) = Default::default();
    let (mut carried, mut in_time, mut late, mut task) = (0_usize, [0_u32; 3], 0_u32, 0_u64);
    const SECONDS: u64 = 20;
    for now in 0..SECONDS * 1_000 {
        // 60 kB in the mean.
        if rng.random_bool(2.2 * BYTES_PER_MS as f64 / 60_000.0) {
            task += 1;
            let bytes = rng.random_range(16_384..103_616);
            let sender = if rng.random_bool(0.5) { 0 } else { rng.random_range(1..10) };
            let rank = (task % 3) as u8;
            // As the slots state it: the transfer counts as part of the run.
            let max_wait = 540 - intake.transfer_time(bytes).as_millis() as u64;
            let offer = offer(task, bytes, rank, &format!("o{sender}"), max_wait);
            ranks.insert(task, rank);
            sizes.insert(task, bytes);
            match intake.offer(at(now), BodyOffer { goal: at(now + 540), ..offer }) {
                BodyDecision::Grant => drop(left.insert(task, bytes)),
                BodyDecision::Wait => {}
                BodyDecision::Refuse { retry_after } => assert!(retry_after < ms(2_000)),
            }
            due.insert(task, now + 540);
        }
        // The granted bodies share the link.
        let mut room = BYTES_PER_MS;
        let mut ended = Vec::new();
        let share = room / left.len().max(1);
        for (task, bytes) in &mut left {
            let part = share.max(1).min(*bytes).min(room);
            (*bytes, room, carried) = (*bytes - part, room - part, carried + part);
            intake.record_arrival(at(now), TaskId(*task), part);
            if *bytes == 0 {
                ended.push(*task);
            }
        }
        let mut wakes: Vec<BodyWake> = Vec::new();
        for task in ended {
            left.remove(&task);
            if now <= due[&task] {
                in_time[usize::from(ranks[&task])] += 1;
            } else {
                late += 1;
            }
            wakes.extend(intake.end(at(now), TaskId(task)));
        }
        if now % 50 == 0 {
            wakes.extend(intake.advance(at(now)));
        }
        for wake in wakes {
            if let BodyWake::Grant(task) = wake {
                left.insert(task.0, sizes[&task.0]);
            }
        }
    }
    let share = carried as f64 / (SECONDS as usize * 1_000 * BYTES_PER_MS) as f64;
    println!("carried {share:.3}, in time {in_time:?}, late {late}");
    assert!(share >= 0.9, "{share}");
    assert!(late * 20 <= in_time.iter().sum(), "{late} late, {in_time:?}");
    let all: u32 = in_time.iter().sum();
    assert!(in_time.iter().all(|it| it * 12 >= all), "a rank is starved: {in_time:?}");
    assert!(intake.backlog() < Duration::from_secs(2));
}
