//! Protocol timings and limits.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// How versions reach the daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// One source per data centre reads the platform and pushes deltas down a tree; pull repair
    /// delivers what was lost.
    #[default]
    Tree,
    /// New deltas are gossiped to random peers, with pull repair. There is no lease: every daemon
    /// reads the head row, at an interval that grows with the number of members so that a data
    /// centre reads as often as one source would.
    Epidemic,
    /// Every daemon reads the head row and fetches from the platform itself.
    Poll,
}

/// Protocol timings and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How versions reach the daemons.
    pub mode: Mode,
    /// Time without a renewal after which the source lease may be taken over.
    pub lease_ttl: Duration,
    /// Interval between renewals of the source lease and between heartbeats of the source.
    pub lease_renew: Duration,
    /// Maximum random delay before an attempt to acquire the lease.
    pub lease_jitter: Duration,
    /// Number of daemons per data centre that try to acquire the lease.
    pub candidates: usize,
    /// Interval between reads of the head row by a source.
    pub head_interval: Duration,
    /// Mean interval between reads of the head row by each daemon in [`Mode::Poll`]; each is drawn
    /// from half to one and a half of it.
    pub poll_interval: Duration,
    /// Number of children of each daemon in the tree.
    pub arity: usize,
    /// Number of random peers to which a daemon sends a new delta in [`Mode::Epidemic`].
    pub gossip_fanout: usize,
    /// Mean interval between probes for pull repair; each is drawn from half to one and a half of
    /// it.
    pub probe_interval: Duration,
    /// Every `remote_interval`th probe goes to another data centre.
    pub remote_interval: u32,
    /// Time after which a pull without an answer is abandoned.
    pub pull_timeout: Duration,
    /// Maximum number of deltas retained for peers that are behind.
    pub log_len: usize,
    /// Maximum size of the deltas retained for peers that are behind, in bytes.
    pub log_bytes: usize,
    /// Maximum size of the deltas in one message, in bytes. A message always carries at least one
    /// delta, even if that is larger.
    pub message_bytes: usize,
    /// Maximum number of snapshots that a daemon sends in any second.
    pub transfer_rate: usize,
    /// Maximum random part of the delay after which a peer may repeat a snapshot request. It is
    /// short because the number of peers that can send the snapshot grows in the meantime.
    pub transfer_wait: Duration,
    /// Maximum random delay before the first read of the head row. It spreads the reads when the
    /// whole fleet restarts: 3,700 daemons in 5 s are 740 reads/s.
    pub start_jitter: Duration,
    /// Base of the exponential backoff of pulls while no version is in force.
    pub retry_base: Duration,
    /// Maximum of the exponential backoff of pulls while no version is in force.
    pub retry_cap: Duration,
    /// Base of the exponential backoff of platform reads.
    pub platform_base: Duration,
    /// Maximum of the exponential backoff of platform reads.
    pub platform_cap: Duration,
    /// Time after which a platform request without an answer has failed.
    pub platform_timeout: Duration,
    /// Number of peers whose answers determine the version floor while the platform is
    /// unavailable.
    pub floor_peers: usize,
    /// Mean interval between rounds of floor queries; each is drawn from half to one and a half of
    /// it.
    pub floor_interval: Duration,
    /// Time after which answers from fewer than `floor_peers` peers with a version in force are
    /// accepted. Without it, restarts that leave fewer such daemons would block until the platform
    /// is available again.
    pub floor_wait: Duration,
    /// Minimum interval between reports to the parent.
    pub report_interval: Duration,
    /// Time after which an unchanged report is repeated in case the last one was lost.
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

/// Returns a random duration from zero to `max`.
pub(crate) fn jitter(rng: &mut dyn Rng, max: Duration) -> Duration {
    Duration::from_micros(rng.random_range(0..=max.as_micros() as u64))
}

/// Returns a random duration from half to one and a half of `mean`.
pub(crate) fn spread(rng: &mut dyn Rng, mean: Duration) -> Duration {
    mean / 2 + jitter(rng, mean)
}

/// Returns the maximum delay before retry number `retries`, counted from 0.
pub(crate) fn backoff(base: Duration, cap: Duration, retries: u32) -> Duration {
    base.saturating_mul(1 << retries.min(16)).min(cap)
}
