//! Protocol timings and limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Protocol timings and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Interval between probes of members of the local data centre.
    pub probe_period: Duration,
    /// Probe interval while several members of the local data centre are suspected. At the normal
    /// rate, detecting that 40 % of a data centre has failed takes longer than
    /// `suspicion_timeout`, so a mass failure would only be recognised after the first members
    /// became `Dead`.
    pub urgent_probe_period: Duration,
    /// Time to wait for the ack of a direct probe before indirect probes are sent.
    pub direct_timeout: Duration,
    /// Time after which a probe without any ack has failed.
    pub probe_timeout: Duration,
    /// Time after which a proxy reports that the target did not answer. Shorter than
    /// `probe_timeout - direct_timeout`, so that the nack arrives before the probe fails.
    pub indirect_timeout: Duration,
    /// Number of members asked to probe a target indirectly.
    pub indirect_fanout: usize,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time to refute a suspicion during a mass failure, and for members of other data centres,
    /// whose local peers decide first.
    pub extended_suspicion: Duration,
    /// Time without a new suspicion in a data centre after which the number of suspected members
    /// is considered final and compared with the mass failure threshold.
    pub suspicion_settle: Duration,
    /// Interval between gossip rounds while there are records to send.
    pub gossip_period: Duration,
    /// Messages per gossip round.
    pub gossip_fanout: usize,
    /// A gossip target is in another data centre with probability `1 / remote_divisor`.
    pub remote_divisor: u32,
    /// Approximate limit on the records in one message, in bytes.
    pub gossip_bytes: usize,
    /// Factor of log2(members) in the number of times that a new record is sent.
    pub gossip_factor: u32,
    /// The first `1 / dedicated_divisor` of a record's sends get gossip messages of their own; the
    /// others are piggybacked on probes and replies. By then most members know the record, and
    /// dedicated messages would make up a fifth of the control traffic at 5,000 changes a day.
    pub dedicated_divisor: u32,
    /// Maximum number of records being gossiped. When it is exceeded, the records sent most often
    /// are dropped and left to anti-entropy. Without the limit, a simultaneous restart of 400
    /// daemons costs each of them 2.6 KB/s of gossip for minutes.
    pub queue_limit: usize,
    /// Number of random members that are notified immediately of a leave or a refutation.
    pub push_fanout: usize,
    /// Interval between anti-entropy rounds.
    pub anti_entropy_period: Duration,
    /// Delay until the next anti-entropy round when the limits truncated the last one.
    pub anti_entropy_pause: Duration,
    /// Maximum number of buckets listed in one anti-entropy round.
    pub anti_entropy_buckets: u32,
    /// Every `reconnect_interval`th anti-entropy round goes to a seed or a `Dead` member, so that
    /// groups of daemons that consider each other `Dead` merge again.
    pub reconnect_interval: u32,
    /// Maximum number of records in one anti-entropy or join message.
    pub chunk_records: usize,
    /// Maximum number of records in an anti-entropy message that are gossiped further. A larger
    /// repair is left to anti-entropy, which sends each record once per receiver.
    pub regossip_limit: usize,
    /// Time without a message from another data centre after which one of its members is probed.
    pub reachability_period: Duration,
    /// Delay until the next reachability probe after one has failed.
    pub reachability_retry: Duration,
    /// Interval between reachability probes of an unreachable data centre.
    pub unreachable_retry: Duration,
    /// Number of failed reachability probes after which a data centre is unreachable.
    pub reachability_failures: u32,
    /// Time without any message after which missing acks are not taken as failures.
    pub isolation_timeout: Duration,
    /// Delay of a tick above which the process is assumed to have been paused, so that acks may
    /// have arrived but not been read yet.
    pub pause_threshold: Duration,
    /// Time for which `Dead` and `Left` records are kept. Far longer than a partition between
    /// regions (minutes), so that no daemon still holds an earlier state when the record is
    /// removed.
    pub retention: Duration,
    /// Time to wait for a seed's reply.
    pub join_timeout: Duration,
    /// Maximum delay before the seeds are tried again.
    pub join_backoff: Duration,
    /// Number of consecutive failed connections to the local backend server after which the
    /// endpoint is `Leaving`.
    pub connect_failures: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            probe_period: Duration::from_secs(1),
            urgent_probe_period: Duration::from_millis(250),
            direct_timeout: Duration::from_millis(500),
            probe_timeout: Duration::from_secs(1),
            indirect_timeout: Duration::from_millis(350),
            indirect_fanout: 3,
            suspicion_timeout: Duration::from_secs(3),
            extended_suspicion: Duration::from_secs(10),
            suspicion_settle: Duration::from_secs(1),
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 2,
            remote_divisor: 8,
            gossip_bytes: 600,
            gossip_factor: 3,
            dedicated_divisor: 3,
            queue_limit: 64,
            push_fanout: 8,
            anti_entropy_period: Duration::from_secs(5),
            anti_entropy_pause: Duration::from_millis(250),
            anti_entropy_buckets: 8,
            reconnect_interval: 6,
            chunk_records: 128,
            regossip_limit: 8,
            reachability_period: Duration::from_secs(20),
            reachability_retry: Duration::from_secs(1),
            unreachable_retry: Duration::from_secs(3),
            reachability_failures: 3,
            isolation_timeout: Duration::from_secs(3),
            pause_threshold: Duration::from_millis(400),
            retention: Duration::from_secs(3600),
            join_timeout: Duration::from_secs(1),
            join_backoff: Duration::from_secs(5),
            connect_failures: 3,
        }
    }
}
