//! Messages between a daemon and the broker of a group of organisations.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, Time};

/// Time of a broker's clock, returned to it so that it can bound the age of a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the broker.
    pub incarnation: u64,
    /// Time of the broker's reply on its own clock.
    pub time: Time,
    /// Time from the receipt of that reply until the request was sent.
    pub held: Duration,
}

/// Demand of one organisation at one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Part of the requests per second that callers send which the lane is to serve, as a fraction
    /// of the quota's rate.
    pub demand: f64,
    /// Part of the sender's own share that it does not lend, as a fraction of the quota.
    pub kept: f64,
    /// Number of requests that wait for a token.
    pub waiting: u8,
    /// Tokens that the sender gives back, since its share has become smaller.
    pub back: f64,
    /// Sequence of the request to which the broker granted the lease in use, 0 for none.
    pub applied: u64,
}

/// Request of a daemon to the broker of a lane, which also lends it the daemon's own shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// VM of the sender.
    pub vm: EndpointId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Orders the requests of the sender for the lane.
    pub sequence: u64,
    /// Lane: the group of organisations and which of its brokers is meant.
    pub lane: u8,
    /// Echo of the broker's last reply; without one, nothing is lent.
    pub echo: Option<Echo>,
    /// Share of each organisation of the lane that the sender owns, as a fraction of the quota;
    /// what it does not keep is lent. `None` if nothing is lent.
    pub share: Option<f64>,
    /// Duration of the loan.
    pub expiry: Duration,
    /// Organisations with demand, or of which the sender keeps a part or has a lease of the broker.
    pub entries: Vec<DemandEntry>,
}

/// Shares of one organisation for one daemon, as fractions of the quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Fraction that suits the demand; the daemon lends what it keeps beyond it.
    pub target: f64,
    /// Part of the daemon's own share that is returned to it.
    pub returned: f64,
    /// Part of other daemons' shares that is lent to it.
    pub lease: f64,
    /// Tokens that come with the shares, in requests.
    pub tokens: f64,
    /// Whether the demand of all daemons is above the quota, so that asking for more is in vain.
    pub exhausted: bool,
}

/// Reply to a [`ShareRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReply {
    /// Incarnation of the broker.
    pub incarnation: u64,
    /// Time of the reply on the broker's clock.
    pub time: Time,
    /// Sequence of the request.
    pub sequence: u64,
    /// Duration of the leases, from when the request was sent.
    pub duration: Duration,
    /// Grants by organisation.
    pub grants: Vec<ShareGrant>,
}
