//! Counters for the daemon's metrics.

use serde::{Deserialize, Serialize};

/// Totals since the daemon started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Direct probes sent, except those sent as a proxy.
    pub probes: u64,
    /// Probes that failed because no ack arrived in time.
    pub probe_failures: u64,
    /// Requests for indirect probes sent.
    pub indirect_probes: u64,
    /// Failed probes that led to no suspicion, because no proxy answered either or the local
    /// daemon may be isolated.
    pub inconclusive_probes: u64,
    /// Suspicions raised by the local daemon.
    pub suspicions: u64,
    /// Suspicions of the local daemon, or conflicting records of it, that it refuted.
    pub refutations: u64,
    /// Members declared `Dead` by the local daemon.
    pub deaths: u64,
    /// Suspicions that were extended because of a mass failure.
    pub extended_suspicions: u64,
    /// Records sent as gossip.
    pub gossip_sent: u64,
    /// Received records that were new and stored.
    pub records_applied: u64,
    /// Received records that were already known or superseded.
    pub records_ignored: u64,
    /// Anti-entropy rounds started.
    pub anti_entropy_rounds: u64,
    /// Anti-entropy rounds of other daemons in which a difference was found.
    pub anti_entropy_repairs: u64,
    /// Join replies sent.
    pub join_replies: u64,
    /// Join requests that the seed did not answer in time.
    pub join_timeouts: u64,
    /// Times that another data centre became unreachable.
    pub partitions: u64,
    /// `Dead` and `Left` records removed after the retention time.
    pub expired_records: u64,
    /// Detected pauses of the process.
    pub process_pauses: u64,
}
