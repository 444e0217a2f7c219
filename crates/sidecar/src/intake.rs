//! Bodies of requests that other daemons send over the link of this VM.

use std::{sync::Arc, time::Duration};

use shallottack_fleet::{BodyDecision, BodyOffer, TaskId};
use shallottack_kernel::ErrorKind;

use crate::{
    events::Event,
    message::RunRequest,
    node::{Node, SlotDecision},
    relay::{EXPIRED, Refusal, check_server, check_start, new_arrival},
};

/// Shortest `Retry-After` of a request whose body would come too late.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Ends the body of a request when it has arrived, or when its sender ends the call.
pub struct BodyGuard {
    node: Arc<Node>,
    task: TaskId,
}

impl BodyGuard {
    /// Records that bytes of the body have arrived.
    pub fn record_arrival(&self, bytes: usize) {
        let now = self.node.now();
        self.node.shared().intake.record_arrival(now, self.task, bytes);
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node.shared().end_body(now, self.task);
    }
}

/// Waits until the body of a request may come over the link.
///
/// # Errors
///
/// Returns why the request is refused, and when to retry.
pub async fn await_turn(
    node: &Arc<Node>,
    request: &RunRequest,
    bytes: usize,
) -> Result<BodyGuard, Refusal> {
    let now = node.now();
    node.check_connections();
    check_start(node, request)?;
    if request.left.is_zero() {
        return Err(EXPIRED);
    }
    let task = node.next_task();
    let (guard, waiter) = {
        let mut shared = node.shared();
        check_server(&mut shared, now, request)?;
        let arrival = new_arrival(task, now, request);
        let transfer = shared.intake.transfer_time(bytes);
        let max_wait = shared.slots.check_ahead(now, &arrival, transfer)?;
        let offer = BodyOffer {
            task,
            bytes,
            rank: request.rank,
            sender: Arc::clone(request.organisation.as_ref().unwrap_or(&request.route)),
            goal: arrival.goal,
            max_wait,
        };
        let decision = shared.intake.offer(now, offer);
        let guard = BodyGuard { node: Arc::clone(node), task };
        match decision {
            BodyDecision::Grant => (guard, None),
            BodyDecision::Wait => (guard, Some(shared.register_body(task))),
            BodyDecision::Refuse { retry_after } => {
                drop(shared);
                return Err((ErrorKind::Overloaded, retry_after.max(MIN_RETRY_AFTER)));
            }
        }
    };
    if let Some(decision) = waiter {
        match decision.recv().await {
            Ok(SlotDecision::Run) => check_start(node, request)?,
            Ok(SlotDecision::Reject(retry_after)) => {
                return Err((ErrorKind::Overloaded, retry_after.max(MIN_RETRY_AFTER)));
            }
            Err(_) => return Err(EXPIRED),
        }
    }
    let waited = node.now().since(now);
    metrics::histogram!("shallottack_grant_wait_seconds").record(waited.as_secs_f64());
    let (granted, on_way, waiting) = {
        let shared = node.shared();
        (shared.intake.granted(), shared.intake.on_way(), shared.intake.waiting())
    };
    node.events.write(&Event::Granted {
        id: &request.id,
        bytes,
        delay_ms: request.delay.as_millis() as u64,
        waited_ms: waited.as_millis() as u64,
        granted,
        on_way,
        waiting,
    });
    Ok(guard)
}
