//! Timings and limits.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// How versions reach the daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// A source per data centre pushes down a tree; pull repair fills gaps.
    #[default]
    Tree,
    /// New deltas go to random peers, with pull repair. No lease: every daemon reads the head row
    /// rarely enough that a data centre together reads as often as a source would.
    Epidemic,
    /// Every daemon reads the table and fetches for itself.
    Poll,
}

/// Timings and limits of the distribution core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How versions reach the daemons.
    pub mode: Mode,
    /// Time after which an unrenewed source lease may be taken over.
    pub lease_ttl: Duration,
    /// Time between renewals of the source lease.
    pub lease_renew: Duration,
    /// Longest random delay added before an attempt to acquire the lease.
    pub lease_jitter: Duration,
    /// Number of daemons of a data centre that try to acquire the lease.
    pub candidates: usize,
    /// Time between two reads of the head row by a source.
    pub head_interval: Duration,
    /// Time between two reads of the head row by each daemon in [`Mode::Poll`].
    pub poll_interval: Duration,
    /// Children of each daemon in the tree.
    pub arity: usize,
    /// Random peers that receive a new delta in [`Mode::Epidemic`].
    pub gossip_fanout: usize,
    /// Mean time between two pull repair probes; each is drawn from half to one and a half of it.
    pub probe_interval: Duration,
    /// One probe in this many goes to another data centre.
    pub remote_interval: u32,
    /// Time after which a pull that got no answer is given up.
    pub pull_timeout: Duration,
    /// Deltas retained for peers that are behind.
    pub log_len: usize,
    /// Bytes of deltas retained for peers that are behind.
    pub log_bytes: usize,
    /// Bytes of deltas sent in one message, except that one delta always fits.
    pub message_bytes: usize,
    /// Snapshot transfers served in any second.
    pub transfer_rate: usize,
    /// Longest time after which a peer is asked to come back for a snapshot. It is short because
    /// the number of peers that can serve the snapshot grows meanwhile.
    pub transfer_wait: Duration,
    /// Longest random delay before the first read of the head row. It spreads the reads of a
    /// restart of the whole fleet: 3,700 in 5 s are 740 reads/s.
    pub start_jitter: Duration,
    /// Base of the backoff of pulls at start.
    pub retry_base: Duration,
    /// Cap of the backoff of pulls at start.
    pub retry_cap: Duration,
    /// Base of the backoff of platform reads.
    pub platform_base: Duration,
    /// Cap of the backoff of platform reads.
    pub platform_cap: Duration,
    /// Time after which a platform request that got no answer counts as failed.
    pub platform_timeout: Duration,
    /// Number of peers whose reports set the version floor when the table is down.
    pub floor_peers: usize,
    /// Time between two rounds of floor queries.
    pub floor_interval: Duration,
    /// Time after which the reports of fewer peers in force are accepted. Without it, restarts
    /// that leave fewer than `floor_peers` daemons in force would block until the table is back.
    pub floor_wait: Duration,
    /// Least time between two reports to the parent.
    pub report_interval: Duration,
    /// Time after which an unchanged report is sent again, in case the last one was lost.
    pub report_refresh: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            mode: Mode::Tree,
            lease_ttl: Duration::from_secs(3),
            lease_renew: Duration::from_secs(1),
            lease_jitter: Duration::from_secs(1),
            candidates: 3,
            head_interval: Duration::from_millis(500),
            poll_interval: Duration::from_secs(2),
            arity: 8,
            gossip_fanout: 3,
            probe_interval: Duration::from_secs(1),
            remote_interval: 8,
            pull_timeout: Duration::from_secs(1),
            log_len: 256,
            log_bytes: 1024 * 1024,
            message_bytes: 256 * 1024,
            transfer_rate: 32,
            transfer_wait: Duration::from_secs(2),
            start_jitter: Duration::from_secs(5),
            retry_base: Duration::from_millis(100),
            retry_cap: Duration::from_secs(5),
            platform_base: Duration::from_millis(500),
            platform_cap: Duration::from_secs(5),
            platform_timeout: Duration::from_secs(5),
            floor_peers: 3,
            floor_interval: Duration::from_millis(500),
            floor_wait: Duration::from_secs(5),
            report_interval: Duration::from_secs(1),
            report_refresh: Duration::from_secs(10),
        }
    }
}

/// Returns a random duration from zero to `most`.
pub(crate) fn jitter(rng: &mut dyn Rng, most: Duration) -> Duration {
    Duration::from_micros(rng.random_range(0..=most.as_micros() as u64))
}

/// Returns a random duration from half to one and a half of `mean`.
pub(crate) fn spread(rng: &mut dyn Rng, mean: Duration) -> Duration {
    mean / 2 + jitter(rng, mean)
}

/// Returns the upper bound of the wait before retry number `retries` (from 0).
pub(crate) fn backoff(base: Duration, cap: Duration, retries: u32) -> Duration {
    base.saturating_mul(1 << retries.min(16)).min(cap)
}
