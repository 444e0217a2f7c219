//! State machine that claims keyed requests for one daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rand::Rng;
use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, ErrorKind, Time};
use shallottack_platform::Transaction;

use crate::{
    Action, Actions, Arrival, AttemptId, BatchId, BatchOutcome, ClaimRow, Input, ReadOutcome,
    RequestId, RunResult, State, StoredAnswer, answer_object,
    batch::{Batches, InFlight},
    check_key, claim_key,
    entry::{ClaimCheck, Entry, Phase, ReleaseCheck, RowWrite},
};

/// Timings and limits of [`Claims`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Maximum number of rows in one transaction.
    pub batch_rows: usize,
    /// Minimum time between two transactions.
    pub batch_interval: Duration,
    /// Maximum number of transactions in flight.
    pub in_flight: usize,
    /// Maximum number of keyed requests that are open or whose rows are still to be written. Bounds
    /// memory and the number of reads after an outage.
    pub max_entries: usize,
    /// Maximum time to wait for the confirmation of a claim. The wait is also limited to half of
    /// the time to the deadline, so that a request is refused long before its deadline.
    pub confirm_timeout: Duration,
    /// Time after its deadline for which an attempt may still be running.
    pub deadline_slack: Duration,
    /// Time for which claim rows are kept.
    pub retention: Duration,
    /// Maximum size in bytes of an answer that is stored in the row.
    pub inline_bytes: usize,
    /// Time after which a refused caller may retry.
    pub retry_after: Duration,
    /// Maximum delay before the first retry of a failed step. It doubles with each further retry.
    pub backoff_base: Duration,
    /// Upper bound of the delay between retries of a failed step.
    pub backoff_cap: Duration,
    /// Time for which storing the outcome of a run is retried.
    pub store_timeout: Duration,
    /// Number of attempts to write an answer object before its claim is recorded as unknown.
    pub put_attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            batch_rows: 25,
            batch_interval: Duration::from_millis(5),
            in_flight: 8,
            max_entries: 1_024,
            confirm_timeout: Duration::from_secs(2),
            deadline_slack: Duration::from_secs(5),
            retention: Duration::from_secs(24 * 3_600),
            inline_bytes: 16 * 1024,
            retry_after: Duration::from_secs(1),
            backoff_base: Duration::from_millis(200),
            backoff_cap: Duration::from_secs(30),
            store_timeout: Duration::from_secs(600),
            put_attempts: 5,
        }
    }
}

/// State machine that claims keyed requests for one daemon.
#[derive(Debug, Clone)]
pub struct Claims {
    settings: Settings,
    endpoint: EndpointId,
    nonce: u64,
    origin_ms: u64,
    attempts: u64,
    batches: Batches,
    entries: BTreeMap<Arc<str>, Entry>,
    runs: BTreeMap<RequestId, Arc<str>>,
    timers: BTreeSet<(Time, Arc<str>)>,
    /// Moving average of the time from sending a transaction to its commit.
    latency: Duration,
}

impl Claims {
    /// Creates the state machine of a daemon that has just started.
    ///
    /// `nonce` is a random number that differs from that of every other start of a daemon.
    /// `origin_ms` is the Unix time in milliseconds at the origin of [`Time`]. Times in rows are
    /// only compared with a tolerance of seconds to hours, so the clocks of daemons need to agree
    /// only roughly.
    pub fn new(settings: Settings, endpoint: EndpointId, nonce: u64, origin_ms: u64) -> Claims {
        Claims {
            settings,
            endpoint,
            nonce,
            origin_ms,
            attempts: 0,
            batches: Batches::default(),
            entries: BTreeMap::new(),
            runs: BTreeMap::new(),
            timers: BTreeSet::new(),
            latency: Duration::ZERO,
        }
    }

    /// Processes an input and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, rng: &mut dyn Rng, input: Input) -> Actions {
        let mut actions = Actions::new();
        // Timers run first, so that a confirmation that arrives too late starts no run.
        self.run_timers(now, &mut actions);
        match input {
            Input::Arrive(arrival) => self.arrive(now, &arrival, &mut actions),
            Input::BatchDone { batch, outcome } => {
                self.on_batch(now, rng, batch, &outcome, &mut actions);
            }
            Input::ReadDone { key, outcome } => self.on_read(now, rng, &key, outcome, &mut actions),
            Input::RunDone { request, result } => {
                self.finish(now, request, result, &mut actions);
            }
            Input::PutDone { key, written } => self.on_put(now, rng, &key, written),
            Input::Tick => {}
        }
        self.flush(now, &mut actions);
        actions
    }

    /// Returns when the next [`Input::Tick`] is due. The time is far in the future if none is
    /// needed.
    pub fn wake_at(&self) -> Time {
        let timer = self.timers.first().map(|(time, _)| *time);
        let due = self.batches.due(self.settings.in_flight);
        timer.into_iter().chain(due).min().unwrap_or(Time(u64::MAX))
    }

    /// Returns the number of requests that are open or whose rows are still to be written.
    pub fn open_requests(&self) -> usize {
        self.entries.len()
    }

    fn unix_ms(&self, time: Time) -> u64 {
        self.origin_ms + time.0 / 1_000
    }

    fn arrive(&mut self, now: Time, arrival: &Arrival, actions: &mut Actions) {
        let request = arrival.request;
        if check_key(&arrival.key).is_err() {
            return actions.push(refusal(request, ErrorKind::BadRequest, None));
        }
        let key = claim_key(&arrival.service, &arrival.key);
        if let Some(entry) = self.entries.get(&key) {
            return actions.push(self.answer_local(entry, arrival));
        }
        let after = Some(self.settings.retry_after);
        if self.entries.len() >= self.settings.max_entries {
            return actions.push(refusal(request, ErrorKind::Overloaded, after));
        }
        let half_budget = arrival.deadline.since(now) / 2;
        let give_up = now + half_budget.min(self.settings.confirm_timeout);
        if now + self.expected_latency() >= give_up {
            return actions.push(refusal(request, ErrorKind::DeadlineUnmet, after));
        }
        self.attempts += 1;
        let entry = Entry {
            request,
            attempt: AttemptId { nonce: self.nonce, number: self.attempts },
            digest: arrival.digest,
            deadline: arrival.deadline,
            phase: Phase::Queued(RowWrite::Claim),
            waiting: true,
            expected_revision: None,
            in_doubt: false,
            final_state: None,
            answer: None,
            timer: None,
            retries: 0,
            store_until: now,
        };
        self.entries.insert(key.clone(), entry);
        self.set_timer(&key, Some(give_up));
        self.batches.push(key);
    }

    /// Responds to a repeat of a request that is open at this daemon.
    fn answer_local(&self, entry: &Entry, arrival: &Arrival) -> Action {
        let after = Some(self.settings.retry_after);
        let waiting = entry.waiting || entry.phase == Phase::Running;
        let released = !waiting && entry.final_state.is_none() && entry.answer.is_none();
        if entry.digest != arrival.digest && !released {
            return refusal(arrival.request, ErrorKind::KeyReused, None);
        }
        match (&entry.final_state, &entry.answer) {
            (Some(State::Done(answer)), _) => {
                Action::AnswerStored { request: arrival.request, answer: answer.clone() }
            }
            (None, Some(answer)) => Action::AnswerStored {
                request: arrival.request,
                answer: StoredAnswer::Inline(answer.clone()),
            },
            (Some(_), _) => refusal(arrival.request, ErrorKind::OutcomeUnknown, None),
            (None, None) => refusal(arrival.request, ErrorKind::KeyInProgress, after),
        }
    }

    /// Returns the expected time to the confirmation of a claim made now. With no transaction in
    /// flight it is zero, so that a claim is tried and the end of a slow period is noticed.
    fn expected_latency(&self) -> Duration {
        if self.batches.is_idle() {
            return Duration::ZERO;
        }
        let ahead = self.batches.waiting() / self.settings.batch_rows.max(1);
        self.settings.batch_interval.saturating_mul(ahead as u32) + self.latency
    }

    fn run_timers(&mut self, now: Time, actions: &mut Actions) {
        while let Some((time, key)) = self.timers.first().cloned() {
            if time > now {
                return;
            }
            self.set_timer(&key, None);
            self.on_timer(now, &key, actions);
        }
    }

    fn on_timer(&mut self, now: Time, key: &Arc<str>, actions: &mut Actions) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match entry.phase {
            Phase::Queued(RowWrite::Claim) => {
                let in_doubt = entry.in_doubt;
                self.batches.remove(key);
                self.give_up(key, actions);
                if in_doubt { self.read(key, actions) } else { self.close(key) }
            }
            // The outcome of the pending step determines whether the row is released.
            Phase::Committing(RowWrite::Claim) | Phase::Reading => self.give_up(key, actions),
            Phase::Paused => self.read(key, actions),
            Phase::StorePaused if entry.final_state.is_some() => {
                if now < entry.store_until {
                    self.queue(key, RowWrite::Final);
                } else {
                    self.close(key);
                }
            }
            Phase::StorePaused => self.put_answer(key, actions),
            Phase::Queued(_) | Phase::Committing(_) | Phase::Running | Phase::Storing => {}
        }
    }

    /// Refuses the request as not run. It is never started afterwards.
    fn give_up(&mut self, key: &str, actions: &mut Actions) {
        self.refuse(key, ErrorKind::PlatformDown, Some(self.settings.retry_after), actions);
    }

    /// Refuses the request if it still waits to be started.
    fn refuse(
        &mut self,
        key: &str,
        kind: ErrorKind,
        after: Option<Duration>,
        actions: &mut Actions,
    ) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if std::mem::replace(&mut entry.waiting, false) {
            actions.push(refusal(entry.request, kind, after));
        }
    }

    fn on_batch(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        batch: BatchId,
        outcome: &BatchOutcome,
        actions: &mut Actions,
    ) {
        let Some(InFlight { sent, keys }) = self.batches.complete(batch) else { return };
        match outcome {
            BatchOutcome::Committed => {
                self.latency = (self.latency * 7 + now.since(sent)) / 8;
                for key in &keys {
                    self.on_committed(key, actions);
                }
            }
            BatchOutcome::Conflict { key } => self.on_conflict(keys, key, actions),
            BatchOutcome::Unavailable => {
                for key in &keys {
                    self.on_unavailable(now, rng, key, actions);
                }
            }
            BatchOutcome::Unknown => {
                for key in &keys {
                    self.on_unknown(now, rng, key, actions);
                }
            }
        }
    }

    fn on_committed(&mut self, key: &Arc<str>, actions: &mut Actions) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match entry.phase {
            Phase::Committing(RowWrite::Claim) => {
                entry.in_doubt = true;
                if entry.waiting { self.start(key, actions) } else { self.read(key, actions) }
            }
            _ => self.close(key),
        }
    }

    /// Takes the conflicting row out of the batch and queues the others again at the front.
    fn on_conflict(&mut self, keys: Vec<Arc<str>>, conflict: &Arc<str>, actions: &mut Actions) {
        let in_batch = keys.contains(conflict);
        let mut again = Vec::new();
        for key in keys {
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let Phase::Committing(write) = entry.phase else { continue };
            let conflicts = if in_batch { key == *conflict } else { write != RowWrite::Final };
            if !conflicts {
                if write == RowWrite::Claim && !entry.waiting && !entry.in_doubt {
                    self.close(&key);
                    continue;
                }
                entry.phase = Phase::Queued(write);
                again.push(key);
            } else if entry.waiting || entry.in_doubt {
                self.read(&key, actions);
            } else {
                self.close(&key);
            }
        }
        self.batches.push_front(again);
    }

    fn on_unavailable(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        key: &Arc<str>,
        actions: &mut Actions,
    ) {
        let Some(entry) = self.entries.get(key) else { return };
        match entry.phase {
            Phase::Committing(RowWrite::Final) => {
                self.pause(now, rng, key, Phase::StorePaused);
            }
            _ => {
                let in_doubt = entry.in_doubt;
                self.give_up(key, actions);
                if in_doubt { self.pause(now, rng, key, Phase::Paused) } else { self.close(key) }
            }
        }
    }

    fn on_unknown(&mut self, now: Time, rng: &mut dyn Rng, key: &Arc<str>, actions: &mut Actions) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match entry.phase {
            Phase::Committing(RowWrite::Final) => {
                self.pause(now, rng, key, Phase::StorePaused);
            }
            _ => {
                entry.in_doubt = true;
                self.read(key, actions);
            }
        }
    }

    fn on_read(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        key: &Arc<str>,
        outcome: ReadOutcome,
        actions: &mut Actions,
    ) {
        let unix_ms = self.unix_ms(now);
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.phase != Phase::Reading {
            return;
        }
        if !entry.waiting {
            return self.on_read_for_release(now, rng, key, &outcome);
        }
        let check = entry.check_claim(outcome, unix_ms);
        match check {
            ClaimCheck::Ours => return self.start(key, actions),
            ClaimCheck::Free(revision) => {
                entry.expected_revision = revision;
                return self.queue(key, RowWrite::Claim);
            }
            ClaimCheck::Unavailable => {
                let in_doubt = entry.in_doubt;
                self.give_up(key, actions);
                if in_doubt {
                    return self.pause(now, rng, key, Phase::Paused);
                }
            }
            // Another attempt holds the row, and its revision differs from the one on which a claim
            // of this entry is conditional, so none of its transactions can take effect any more.
            ClaimCheck::Reused => self.refuse(key, ErrorKind::KeyReused, None, actions),
            ClaimCheck::Unknown => self.refuse(key, ErrorKind::OutcomeUnknown, None, actions),
            ClaimCheck::InProgress(until) => {
                let left = Duration::from_millis(until.saturating_sub(unix_ms));
                let after = Some(left.min(self.settings.retry_after));
                self.refuse(key, ErrorKind::KeyInProgress, after, actions);
            }
            ClaimCheck::Done(answer) => {
                actions.push(Action::AnswerStored { request: entry.request, answer });
            }
        }
        self.close(key);
    }

    fn on_read_for_release(
        &mut self,
        now: Time,
        rng: &mut dyn Rng,
        key: &Arc<str>,
        outcome: &ReadOutcome,
    ) {
        let Some(entry) = self.entries.get(key) else { return };
        if !entry.in_doubt {
            return self.close(key);
        }
        match entry.check_release(outcome) {
            ReleaseCheck::NotNeeded => self.close(key),
            ReleaseCheck::Needed(revision) => self.queue(key, RowWrite::Release(revision)),
            ReleaseCheck::Unavailable => self.pause(now, rng, key, Phase::Paused),
        }
    }

    fn start(&mut self, key: &Arc<str>, actions: &mut Actions) {
        self.set_timer(key, None);
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.phase = Phase::Running;
        entry.waiting = false;
        self.runs.insert(entry.request, key.clone());
        actions.push(Action::Run { request: entry.request });
    }

    fn finish(&mut self, now: Time, request: RequestId, result: RunResult, actions: &mut Actions) {
        let Some(key) = self.runs.remove(&request) else { return };
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.store_until = now + self.settings.store_timeout;
        match result {
            RunResult::NotRun => self.read(&key, actions),
            RunResult::Unknown => {
                entry.final_state = Some(State::Unknown);
                self.queue(&key, RowWrite::Final);
            }
            RunResult::Answer(answer) if answer.size() <= self.settings.inline_bytes => {
                entry.final_state = Some(State::Done(StoredAnswer::Inline(answer)));
                self.queue(&key, RowWrite::Final);
            }
            RunResult::Answer(answer) => {
                entry.answer = Some(answer);
                self.put_answer(&key, actions);
            }
        }
    }

    fn put_answer(&mut self, key: &Arc<str>, actions: &mut Actions) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(answer) = entry.answer.clone() else { return };
        entry.phase = Phase::Storing;
        let name = answer_object(key, entry.attempt);
        actions.push(Action::PutObject { key: key.clone(), name, answer });
    }

    fn on_put(&mut self, now: Time, rng: &mut dyn Rng, key: &Arc<str>, written: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.phase != Phase::Storing {
            return;
        }
        if written {
            let name = answer_object(key, entry.attempt);
            entry.final_state = Some(State::Done(StoredAnswer::Object(name)));
        } else if entry.retries + 1 >= self.settings.put_attempts {
            entry.final_state = Some(State::Unknown);
        } else {
            return self.pause(now, rng, key, Phase::StorePaused);
        }
        entry.answer = None;
        entry.retries = 0;
        self.queue(key, RowWrite::Final);
    }

    fn read(&mut self, key: &Arc<str>, actions: &mut Actions) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.phase = Phase::Reading;
        actions.push(Action::ReadRow { key: key.clone() });
    }

    fn queue(&mut self, key: &Arc<str>, write: RowWrite) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.phase = Phase::Queued(write);
        self.batches.push(key.clone());
    }

    fn pause(&mut self, now: Time, rng: &mut dyn Rng, key: &Arc<str>, phase: Phase) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let doubled = self.settings.backoff_base.saturating_mul(1 << entry.retries.min(16));
        let max_us = doubled.min(self.settings.backoff_cap).as_micros() as u64;
        entry.retries += 1;
        entry.phase = phase;
        // At least half of the maximum delay, since no caller waits for a release.
        let wait = Duration::from_micros(max_us / 2 + rng.next_u64() % (max_us / 2 + 1));
        self.set_timer(key, Some(now + wait));
    }

    fn close(&mut self, key: &Arc<str>) {
        self.set_timer(key, None);
        self.entries.remove(key);
    }

    fn set_timer(&mut self, key: &Arc<str>, timer: Option<Time>) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if let Some(old) = std::mem::replace(&mut entry.timer, timer) {
            self.timers.remove(&(old, key.clone()));
        }
        if let Some(time) = timer {
            self.timers.insert((time, key.clone()));
        }
    }

    fn flush(&mut self, now: Time, actions: &mut Actions) {
        if self.batches.due(self.settings.in_flight).is_none_or(|due| due > now) {
            return;
        }
        let next = now + self.settings.batch_interval;
        let (batch, keys) = self.batches.take(now, self.settings.batch_rows, next);
        let mut transaction = Transaction::default();
        for key in &keys {
            transaction = self.add_write(now, transaction, key);
        }
        actions.push(Action::Commit { batch, transaction });
    }

    fn add_write(&mut self, now: Time, transaction: Transaction, key: &Arc<str>) -> Transaction {
        let unix_ms = self.unix_ms(now);
        let until_ms =
            |deadline| self.unix_ms(deadline) + self.settings.deadline_slack.as_millis() as u64;
        let Some(entry) = self.entries.get(key) else { return transaction };
        let Phase::Queued(write) = entry.phase else { return transaction };
        let (state, when) = match write {
            RowWrite::Claim => (State::Running, Some(entry.expected_revision)),
            RowWrite::Release(revision) => (State::Released, Some(revision)),
            RowWrite::Final => (entry.final_state.clone().unwrap_or(State::Unknown), None),
        };
        let row = ClaimRow {
            attempt: entry.attempt,
            endpoint: self.endpoint.clone(),
            digest: entry.digest,
            state,
            until_ms: until_ms(entry.deadline),
            expires_ms: unix_ms + self.settings.retention.as_millis() as u64,
        };
        let transaction = match when {
            Some(revision) => transaction.when(&**key, revision),
            None => transaction,
        };
        if let Some(entry) = self.entries.get_mut(key) {
            entry.phase = Phase::Committing(write);
        }
        transaction.put(&**key, row.encode())
    }
}

fn refusal(request: RequestId, kind: ErrorKind, retry_after: Option<Duration>) -> Action {
    Action::Refuse { request, kind, retry_after }
}
