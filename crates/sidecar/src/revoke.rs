//! Sends of requests to other daemons, and their revocation.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use async_std::task;
use bytes::Bytes;
use futures_lite::future;
use shallottack_fleet::{PendingSend, REVOKE_TIMEOUT, Revocation, SendEvent, SendId, SendStep};
use shallottack_http::Body;
use shallottack_kernel::{EndpointId, Time};
use shallottack_rpc::{Frame, GRANTED_BYTES, Lane, PROTOCOL, PeerError};

use crate::{
    events::Event,
    message::{RevokeReply, RevokeRequest, RunRequest, SendStamp, decode, encode},
    node::Node,
};

/// Longest time that a message may be on the way. A request that arrives later is not run, since its
/// revocation may no longer be remembered.
const MAX_ON_WAY: Duration = Duration::from_secs(30);

/// A request that is sent to another daemon.
pub struct OutgoingSend<'a> {
    /// VM of the daemon.
    pub vm: &'a EndpointId,
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Identifier of the send.
    pub id: SendId,
    /// The request, which holds the identifier.
    pub request: &'a RunRequest,
    /// Body of the request.
    pub body: Body,
    /// Time of the send.
    pub began: Time,
    /// Deadline of the request.
    pub deadline: Time,
    /// Time until which the caller waits.
    pub waits_until: Time,
}

/// How a send ended, with a description for the log.
pub enum SendResult {
    /// The daemon replied with this head and body.
    Reply(Bytes, Body),
    /// Nothing was sent.
    Unsent(String),
    /// The daemon has not started the request and never will.
    NotRun(String),
    /// The connection ended, and the request may have run.
    Cut(String),
    /// The deadline passed, and the request may have run.
    TimedOut(String),
}

type Reply = Result<(Bytes, Body), PeerError>;

/// What ended a wait.
enum Woken {
    Replied(Reply),
    Event(SendEvent),
}

/// Sends a request, waits for the reply, and revokes the request if there is none in time.
pub async fn send(node: &Node, send: OutgoingSend<'_>) -> SendResult {
    let lane = if send.body.len() >= GRANTED_BYTES { Lane::Large } else { Lane::Small };
    let left = send.deadline.since(send.began);
    let opening = node.peers.open_call(send.address, lane);
    let call = match async_std::future::timeout(left, opening).await {
        Ok(Ok(call)) => call,
        Ok(Err(PeerError::Unsent(reason) | PeerError::Cut(reason))) => {
            return SendResult::Unsent(reason);
        }
        Err(_) => return SendResult::Unsent("no connection before the deadline".to_owned()),
    };
    let watch = call.watch();
    let mut run: Pin<Box<dyn Future<Output = Reply> + Send>> =
        Box::pin(call.run(encode(send.request), send.body.clone()));
    let mut pending =
        PendingSend::new(send.began, send.deadline, send.waits_until, send.request.idempotent);
    let mut revocation: Pin<Box<dyn Future<Output = SendEvent> + Send + '_>> =
        Box::pin(future::pending());
    let mut reason = "no reply from the daemon before the deadline".to_owned();
    loop {
        let due = async {
            let Some(at) = pending.ask_at() else { return future::pending().await };
            sleep_until(node, at).await;
            SendEvent::Due
        };
        let silent = async {
            if !pending.watches_silence() {
                return future::pending().await;
            }
            watch.silent().await;
            SendEvent::Silent
        };
        let ended = async {
            sleep_until(node, pending.end()).await;
            SendEvent::Ended
        };
        let replied = async { Woken::Replied(run.as_mut().await) };
        let event = async {
            let timers = future::or(due, future::or(silent, ended));
            Woken::Event(future::or(revocation.as_mut(), timers).await)
        };
        let event = match future::or(replied, event).await {
            Woken::Replied(Ok((head, body))) => return SendResult::Reply(head, body),
            Woken::Replied(Err(PeerError::Unsent(reason))) => return SendResult::Unsent(reason),
            Woken::Replied(Err(PeerError::Cut(cause))) => {
                reason = cause;
                run = Box::pin(future::pending());
                SendEvent::Cut
            }
            Woken::Event(event) => event,
        };
        if event == SendEvent::Silent {
            reason = "no byte from the daemon on the connection".to_owned();
        }
        if matches!(event, SendEvent::Answered(_) | SendEvent::Unanswered) {
            revocation = Box::pin(future::pending());
        }
        match pending.handle(node.now(), event) {
            SendStep::Wait => (),
            SendStep::Revoke => revocation = Box::pin(revoke(node, &send)),
            SendStep::NotRun => {
                return SendResult::NotRun(format!("revoked before its start: {reason}"));
            }
            SendStep::Cut => return SendResult::Cut(reason),
            SendStep::TimedOut => return SendResult::TimedOut(reason),
        }
    }
}

async fn sleep_until(node: &Node, at: Time) {
    task::sleep(at.since(node.now())).await;
}

/// Asks the receiver of a send to revoke it.
async fn revoke(node: &Node, send: &OutgoingSend<'_>) -> SendEvent {
    let began = node.now();
    let request = RevokeRequest {
        stamp: SendStamp { id: send.id, sent: began },
        age: began.since(send.began),
        request: send.request.id.clone(),
    };
    let reply = node.peers.revoke(send.address, encode(&request), REVOKE_TIMEOUT).await;
    let reply = match reply {
        Ok(frame) => decode::<RevokeReply>(&frame.head),
        Err(PeerError::Unsent(reason) | PeerError::Cut(reason)) => Err(reason),
    };
    let (event, reason) = match reply {
        // The address now belongs to another VM, which knows nothing of the send.
        Ok(reply) if reply.vm != *send.vm => (SendEvent::Unanswered, "another VM".to_owned()),
        Ok(reply) => (SendEvent::Answered(reply.revocation), String::new()),
        Err(reason) => (SendEvent::Unanswered, reason),
    };
    let outcome = match event {
        SendEvent::Answered(revocation) => name(revocation),
        _ => "no-answer",
    };
    metrics::counter!("shallottack_revocations_total", "outcome" => outcome).increment(1);
    node.events.write(&Event::Revocation {
        id: &send.request.id,
        vm: send.vm,
        outcome,
        reason: &reason,
        age_ms: request.age.as_millis() as u64,
        ms: node.now().since(began).as_millis() as u64,
    });
    event
}

fn name(revocation: Revocation) -> &'static str {
    match revocation {
        Revocation::Revoked => "revoked",
        Revocation::Started => "started",
        Revocation::Unknown => "unknown",
    }
}

/// Answers a revocation by another daemon.
///
/// # Errors
///
/// Returns the reason why the message can't be decoded.
pub fn handle_revoke(node: &Node, frame: &Frame) -> Result<Frame, String> {
    let request: RevokeRequest = decode(&frame.head)?;
    let now = node.now();
    let SendStamp { id, sent } = request.stamp;
    let revocation = {
        let mut shared = node.shared();
        shared.delays.record(now, id.daemon, sent);
        let (revocation, waiting) = shared.sends.revoke(now, id, request.age);
        if let Some(task) = waiting {
            shared.cancel(now, task);
        }
        revocation
    };
    let outcome = name(revocation);
    metrics::counter!("shallottack_revoked_total", "outcome" => outcome).increment(1);
    node.events.write(&Event::Revoke {
        id: &request.request,
        outcome,
        age_ms: request.age.as_millis() as u64,
    });
    let reply = RevokeReply { vm: node.settings.vm.clone(), revocation };
    let head = encode(&reply).into();
    Ok(Frame { protocol: PROTOCOL, head, ..Frame::default() })
}

/// Takes the time that a request was on the way from its time left.
pub fn count_delay(node: &Node, now: Time, request: &mut RunRequest) {
    let Some(stamp) = request.stamp else { return };
    let delay = node.shared().delays.record(now, stamp.id.daemon, stamp.sent);
    metrics::histogram!("shallottack_request_delay_seconds").record(delay.as_secs_f64());
    request.delay = delay;
    request.goal = request.goal.saturating_sub(delay);
    request.left =
        if delay > MAX_ON_WAY { Duration::ZERO } else { request.left.saturating_sub(delay) };
}
