//! Counters for the daemon's metrics.

use serde::{Deserialize, Serialize};

/// Totals since the start of the daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Probes sent on behalf of this daemon.
    pub probes: u64,
    /// Probes that no one answered in time.
    pub probe_failures: u64,
    /// Requests for an indirect probe that were sent.
    pub indirect_probes: u64,
    /// Probe failures without conclusion, since no helper answered either.
    pub inconclusive_probes: u64,
    /// Suspicions raised by this daemon.
    pub suspicions: u64,
    /// Suspicions of this daemon, or records superseding its own, that it refuted.
    pub refutations: u64,
    /// Members declared `Dead` by this daemon.
    pub deaths: u64,
    /// Suspicions that a mass failure extended.
    pub extended_suspicions: u64,
    /// Sends of new records as gossip.
    pub gossip_sent: u64,
    /// Records received that were new.
    pub records_applied: u64,
    /// Records received that were known or superseded.
    pub records_ignored: u64,
    /// Rounds of anti-entropy started.
    pub anti_entropy_rounds: u64,
    /// Rounds of anti-entropy, started by others, that found a difference.
    pub anti_entropy_repairs: u64,
    /// Chunks sent to joining daemons.
    pub join_replies: u64,
    /// Requests to seeds that were not answered in time.
    pub join_timeouts: u64,
    /// Other data centres that became unreachable.
    pub partitions: u64,
    /// `Dead` and `Left` records removed after the retention time.
    pub expired_records: u64,
    /// Pauses of the process that were noticed.
    pub process_pauses: u64,
}
