//! Tokens of the organisations' quotas, and the exchange with the brokers.

use std::{sync::Arc, time::Duration};

use async_std::task;
use shallottack_fleet::{QuotaDue, QuotaPeer, ShareReply, ShareRequest, TokenDecision};
use shallottack_kernel::{EndpointId, Time, unix_ms};

use crate::{
    events::Event,
    message::{PeerMessage, decode, encode},
    node::Node,
};

/// Interval between checks of which requests to brokers are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks while no organisation has a quota.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of an exchange. A reply that comes later than half a second is ignored, but the
/// connection is kept for the requests on it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for which a request waits for a token; messages to a broker may wait behind bodies on
/// a link.
const MAX_HOLD: Duration = Duration::from_millis(150);
/// Divisor of the time until the latency goal for the same.
const GOAL_DIVISOR: u32 = 4;
/// Interval at which a waiting request tries to take a token; brokers reply in a few milliseconds.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Largest number of organisations whose shares are metrics, those with the highest demand.
const MAX_SERIES: usize = 20;

/// Whether a request of an organisation may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token {
    /// It may; a token was taken if the organisation has a quota.
    Pass,
    /// A token may come within a short time.
    Wait,
    /// It is beyond the quota.
    Reject {
        /// Time until the next token.
        retry_after: Duration,
    },
}

/// Token of a request, given back if no backend server was reached.
#[must_use]
pub struct TokenGuard<'a> {
    node: &'a Node,
    /// `None` if the request needs no token.
    organisation: Option<Arc<str>>,
}

impl TokenGuard<'_> {
    /// Ends the request. `reached` tells whether a backend server may have run it.
    ///
    /// A guard that is dropped otherwise keeps the token, since the request may still reach one.
    pub fn settle(self, reached: bool) {
        if let Some(organisation) = self.organisation.filter(|_| !reached) {
            self.node.quotas().put_back(self.node.now(), &organisation);
        }
    }
}

/// Takes a token for a request, or waits for one for a small part of the time until its latency
/// goal.
///
/// # Errors
///
/// Returns the time until the next token if the quota is used up.
pub async fn admit(
    node: &Arc<Node>,
    organisation: Option<Arc<str>>,
    goal: Time,
) -> Result<TokenGuard<'_>, Duration> {
    let Some(name) = &organisation else { return Ok(TokenGuard { node, organisation }) };
    let now = node.now();
    let until = now + (goal.since(now) / GOAL_DIVISOR).min(MAX_HOLD);
    let mut token = take_token(node, name, false, until);
    while token == Token::Wait {
        task::sleep(RETRY_INTERVAL).await;
        token = take_token(node, name, true, until);
    }
    match token {
        Token::Reject { retry_after } => Err(retry_after),
        Token::Pass | Token::Wait => Ok(TokenGuard { node, organisation }),
    }
}

/// Takes a token for a request of an organisation, and asks the broker if there is none.
///
/// `again` tells that the request has waited; after `until` it no longer does.
pub fn take_token(node: &Arc<Node>, organisation: &str, again: bool, until: Time) -> Token {
    let now = node.now();
    let decision = {
        let mut quotas = node.quotas();
        match quotas.take(now, organisation, again) {
            TokenDecision::Wait if now >= until => quotas.give_up(now, organisation),
            decision => decision,
        }
    };
    match decision {
        TokenDecision::Pass => Token::Pass,
        TokenDecision::Wait => {
            send_requests(node);
            Token::Wait
        }
        TokenDecision::Reject { retry_after, first } => {
            metrics::counter!("shallottack_quota_rejected_total").increment(1);
            if first {
                let usage = node.quotas().usage(now).find(|it| &*it.organisation == organisation);
                node.events.write(&Event::QuotaRejected {
                    organisation,
                    retry_after_ms: retry_after.as_millis() as u64,
                    share: usage.as_ref().map_or(0.0, |it| it.share),
                    demand: usage.as_ref().map_or(0.0, |it| it.demand),
                });
            }
            Token::Reject { retry_after }
        }
    }
}

/// Answers a request of a daemon that chose this one as a broker.
///
/// # Errors
///
/// Returns the reason if the request is invalid.
pub fn answer(node: &Node, request: &ShareRequest) -> Result<ShareReply, String> {
    metrics::counter!("shallottack_quota_messages_total", "kind" => "answered").increment(1);
    let reply = node.quotas().answer(node.now(), request);
    reply.ok_or_else(|| format!("no lane {}", request.lane))
}

/// Exchanges shares with the brokers, in an endless loop.
pub async fn exchange(node: Arc<Node>) {
    loop {
        let idle = node.quotas().is_empty();
        task::sleep(if idle { IDLE_INTERVAL } else { CHECK_INTERVAL }).await;
        let daemons = {
            let shared = node.shared();
            shared.informed.then(|| shared.directory.len())
        };
        if let Some(daemons) = daemons {
            node.quotas().set_daemons(node.now(), daemons);
        }
        let restart = node.shared().take_restart();
        if let Some(restart) = restart {
            node.quotas().restarted(node.now(), restart);
        }
        send_requests(&node);
    }
}

/// Sends the requests that are due.
fn send_requests(node: &Arc<Node>) {
    let now = node.now();
    let reachable = match node.quotas().due(now) {
        QuotaDue::None => return,
        QuotaDue::Asked => Vec::new(),
        QuotaDue::Regular => reachable(node),
    };
    let (requests, changes) = {
        let mut quotas = node.quotas();
        (quotas.requests(now, &reachable), quotas.take_changes())
    };
    for (lane, vm) in &changes {
        node.events.write(&Event::QuotaBroker { lane: *lane, vm });
    }
    for (vm, request) in requests {
        task::spawn(send_request(Arc::clone(node), vm, request));
    }
}

/// Returns the other daemons that can be brokers. All daemons choose among the same ones, so that
/// also those that are no neighbours belong to them.
fn reachable(node: &Node) -> Vec<QuotaPeer> {
    let now_ms = unix_ms();
    let shared = node.shared();
    let others = shared.directory.members().filter(|it| it.vm != shared.own.vm && !it.stopping);
    let reachable = others
        .filter(|it| !shared.placement.contains(&it.vm) || shared.placement.is_reachable(&it.vm));
    let peer = |it: &shallottack_fleet::Member| {
        let up = Duration::from_millis(now_ms.saturating_sub(it.incarnation));
        QuotaPeer { vm: it.vm.clone(), up }
    };
    reachable.map(peer).collect()
}

/// Sends a request to a broker and applies its reply.
async fn send_request(node: Arc<Node>, vm: EndpointId, request: ShareRequest) {
    let (lane, sequence) = (request.lane, request.sequence);
    let address = node.shared().directory.get(&vm).map(|it| it.address);
    let reply = match address {
        Some(address) => {
            let message = encode(&PeerMessage::Share(request));
            let frame = node.peers.sync(address, message, EXCHANGE_TIMEOUT).await;
            frame.map_err(|it| it.to_string()).and_then(|it| decode::<ShareReply>(&it.head))
        }
        None => Err("not in the directory".to_owned()),
    };
    let kind = if reply.is_ok() { "replied" } else { "lost" };
    metrics::counter!("shallottack_quota_messages_total", "kind" => kind).increment(1);
    if let Err(reason) = &reply {
        log::debug!("no reply of the broker {vm}: {reason}");
    }
    node.quotas().apply(node.now(), lane, sequence, reply.ok().as_ref());
    send_requests(&node);
}

/// Sets the gauges of the shares.
pub fn record(node: &Node) {
    let now = node.now();
    let mut quotas = node.quotas();
    let lenders = quotas.lenders(now);
    let mut usage: Vec<_> = quotas.usage(now).collect();
    drop(quotas);
    metrics::gauge!("shallottack_quota_lenders").set(lenders as f64);
    usage.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    for it in usage.into_iter().take(MAX_SERIES) {
        let labels = [("organisation", metrics::SharedString::from(it.organisation))];
        metrics::gauge!("shallottack_quota_share", &labels).set(it.share);
        metrics::gauge!("shallottack_quota_demand", &labels).set(it.demand);
    }
}
