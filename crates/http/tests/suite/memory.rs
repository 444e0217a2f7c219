//! Budget of the memory for bytes of peers.

use proptest::prelude::*;
use shallottack_http::{BudgetSettings, Growth, Kind, Ledger, SHORT_BYTES, Ticket};

const MIB: usize = 1024 * 1024;
const SETTINGS: BudgetSettings =
    BudgetSettings { capacity: 72 * MIB, short_share: 4 * MIB, responses: 18 * MIB };

/// Guards against long messages that leave no room for short ones.
#[test]
fn short_messages_wait_for_long_ones() {
    let mut ledger = Ledger::new(SETTINGS);
    let long = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(long, 68 * MIB), Growth::Granted);
    let waiting = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(waiting, MIB), Growth::Wait);
    for _ in 0..4 * MIB / SHORT_BYTES {
        let short = ledger.open(Kind::Response);
        assert_eq!(ledger.grow(short, SHORT_BYTES), Growth::Granted);
    }
    assert_eq!(ledger.held(), SETTINGS.capacity);
}

/// Guards against a long request that never gets its memory while shorter ones come and go.
#[test]
fn long_request_is_starved_by_shorter_ones() {
    let mut ledger = Ledger::new(SETTINGS);
    let first = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(first, 20 * MIB), Growth::Granted);
    let long = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(long, 64 * MIB), Growth::Wait);
    let later = ledger.open(Kind::Request);
    assert!(!ledger.try_grow(later, MIB));
    assert_eq!(ledger.grow(later, MIB), Growth::Wait);
    assert_eq!(ledger.close(first).as_slice(), [long, later]);
}

/// Guards against responses of unknown length that wait for each other until their deadlines.
#[test]
fn endless_responses_wait_for_each_other() {
    let mut ledger = Ledger::new(SETTINGS);
    let mut open: Vec<(Ticket, usize)> = (0..6).map(|_| (ledger.open(Kind::Response), 0)).collect();
    let mut given_up = 0;
    while let Some((ticket, total)) = open.first().copied() {
        match ledger.grow(ticket, total + SHORT_BYTES) {
            Growth::Granted => open[0].1 += SHORT_BYTES,
            Growth::Wait => {}
            Growth::GiveUp => {
                ledger.close(ticket);
                open.remove(0);
                given_up += 1;
                continue;
            }
        }
        open.rotate_left(1);
    }
    assert_eq!((given_up, ledger.held()), (6, 0));
    assert!(ledger.peak() <= SETTINGS.responses);
}

/// Guards against a request that can never fit and waits for its deadline.
#[test]
fn request_above_the_capacity_waits() {
    let mut ledger = Ledger::new(SETTINGS);
    let ticket = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(ticket, 68 * MIB + 1), Growth::GiveUp);
    assert_eq!(ledger.grow(ticket, 68 * MIB), Growth::Granted);
}

/// Guards against a message that grows without waiting while it still has its turn, and ends the
/// process when its turn comes.
#[test]
fn turn_of_a_message_that_has_grown_is_counted_twice() {
    let mut ledger = Ledger::new(SETTINGS);
    let first = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(first, 68 * MIB), Growth::Granted);
    let waiting = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(waiting, MIB), Growth::Wait);
    assert!(ledger.shrink(first, 67 * MIB).contains(&waiting));
    let second = ledger.open(Kind::Request);
    assert_eq!(ledger.grow(second, MIB), Growth::Wait);
    assert!(ledger.try_grow(second, SHORT_BYTES));
    assert_eq!(ledger.grow(second, 2 * SHORT_BYTES), Growth::Wait);
    ledger.close(waiting);
    assert_eq!(ledger.held(), 67 * MIB + 2 * SHORT_BYTES);
}

proptest! {
    /// Guards against more memory than the budget, and against memory that is not returned.
    #[test]
    fn budget_is_exceeded_or_leaks(
        steps in prop::collection::vec((0..8_usize, 0..4_u8, 1..24 * MIB), 1..200),
    ) {
        let mut ledger = Ledger::new(SETTINGS);
        let mut open: Vec<Option<Ticket>> = vec![None; 8];
        for (at, action, size) in steps {
            let kind = if at % 2 == 0 { Kind::Request } else { Kind::Response };
            let ticket = *open[at].get_or_insert_with(|| ledger.open(kind));
            match action {
                0 => drop(ledger.shrink(ticket, size / 2)),
                1 => {
                    ledger.close(ticket);
                    open[at] = None;
                }
                2 => drop(ledger.try_grow(ticket, size)),
                _ => drop(ledger.grow(ticket, size)),
            }
            prop_assert!(ledger.held() <= SETTINGS.capacity);
        }
        for ticket in open.into_iter().flatten() {
            ledger.close(ticket);
        }
        prop_assert_eq!(ledger.held(), 0);
    }
}
