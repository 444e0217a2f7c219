//! One budget for all bytes of peers that the process holds.

mod ledger;

use std::{
    collections::HashMap,
    future::poll_fn,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Poll, Waker},
};

pub use ledger::{BudgetSettings, Growth, Kind, Ledger, SHORT_BYTES, Ticket};

/// The memory for a message is not available, and waiting for it would not help.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for a message of this size")]
pub struct NoMemory;

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Tasks that wait, by the message that they wait for.
    wakers: HashMap<Ticket, Waker>,
}

/// Budget of the memory for bytes of peers; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Mutex<State>>);

impl Default for MemoryBudget {
    fn default() -> MemoryBudget {
        MemoryBudget::unlimited()
    }
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(settings: BudgetSettings) -> MemoryBudget {
        let state = State { ledger: Ledger::new(settings), wakers: HashMap::new() };
        MemoryBudget(Arc::new(Mutex::new(state)))
    }

    /// Creates a budget that is never exhausted.
    pub fn unlimited() -> MemoryBudget {
        let capacity = usize::MAX / 2;
        MemoryBudget::new(BudgetSettings { capacity, short_share: 0, responses: capacity })
    }

    /// Returns a reservation without any memory.
    pub fn open(&self, kind: Kind) -> Reservation {
        Reservation { ticket: self.state().ledger.open(kind), budget: self.clone() }
    }

    /// Returns the length in bytes of the longest request that fits when nothing else is held.
    pub fn longest_request(&self) -> usize {
        self.state().ledger.longest_request()
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.state().ledger.held()
    }

    /// Returns the largest number of bytes held so far.
    pub fn peak(&self) -> usize {
        self.state().ledger.peak()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(mut state: MutexGuard<'_, State>, granted: &[Ticket]) {
        let wakers: Vec<Waker> = granted.iter().filter_map(|it| state.wakers.remove(it)).collect();
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }
}

/// Memory of one message, which is released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    ticket: Ticket,
}

impl Reservation {
    /// Reserves `total` bytes altogether if they are free.
    pub fn try_grow(&mut self, total: usize) -> bool {
        self.budget.state().ledger.try_grow(self.ticket, total)
    }

    /// Reserves `total` bytes altogether, and waits for them if necessary.
    ///
    /// A message that stops waiting and waits again keeps its turn.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if waiting would not help.
    pub async fn grow(&mut self, total: usize) -> Result<(), NoMemory> {
        poll_fn(|cx| {
            let mut state = self.budget.state();
            match state.ledger.grow(self.ticket, total) {
                Growth::Granted => {
                    state.wakers.remove(&self.ticket);
                    Poll::Ready(Ok(()))
                }
                Growth::Wait => {
                    state.wakers.insert(self.ticket, cx.waker().clone());
                    Poll::Pending
                }
                Growth::GiveUp => Poll::Ready(Err(NoMemory)),
            }
        })
        .await
    }

    /// Releases all but `total` bytes.
    pub fn shrink(&mut self, total: usize) {
        let mut state = self.budget.state();
        let granted = state.ledger.shrink(self.ticket, total);
        MemoryBudget::wake(state, &granted);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.wakers.remove(&self.ticket);
        let granted = state.ledger.close(self.ticket);
        MemoryBudget::wake(state, &granted);
    }
}
