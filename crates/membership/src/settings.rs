//! Timings and sizes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timings and sizes of the core.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Time between two probes of members of the own data centre.
    pub probe_period: Duration,
    /// The same while several members of the own data centre are suspected. At the normal rate,
    /// probes find 40 % of a data centre failed only after more than `suspicion_timeout`, so that a mass
    /// failure would be noticed after the first members became `Dead`.
    pub urgent_probe_period: Duration,
    /// Time after which a direct probe without a reply is followed by indirect probes.
    pub direct_timeout: Duration,
    /// Time after which a probe without any reply has failed.
    pub probe_timeout: Duration,
    /// Time after which a helper reports that the target did not answer. Shorter than
    /// `probe_timeout` less `direct_timeout`, so that the report arrives in time.
    pub indirect_timeout: Duration,
    /// Number of members asked to probe indirectly.
    pub indirect_fanout: usize,
    /// Time within which a suspicion can be refuted.
    pub suspicion_timeout: Duration,
    /// The same during a mass failure, and for members of other data centres, whose own peers
    /// decide first.
    pub extended_suspicion: Duration,
    /// Time without a further suspicion in a data centre after which their number is taken as
    /// final and compared with the limit of a mass failure.
    pub suspicion_settle: Duration,
    /// Time between two rounds of gossip while there are records to send.
    pub gossip_period: Duration,
    /// Messages per round of gossip.
    pub gossip_fanout: usize,
    /// One in this many gossip targets is in another data centre.
    pub remote_divisor: u32,
    /// Records of one message take at most about this many bytes.
    pub gossip_bytes: usize,
    /// Factor of log2(members) in the number of sends of a new record.
    pub gossip_factor: u32,
    /// The first sends of a record, one in this many, get messages of their own. The others wait
    /// for probes and replies: by then most members know the record, and messages of their own
    /// would make up a fifth of the control traffic at 5,000 changes a day.
    pub dedicated_divisor: u32,
    /// Most records being gossiped. Beyond it those sent most often are dropped and left to
    /// anti-entropy: when 400 daemons restart at once, gossiping all of their records takes each
    /// daemon 2.6 KB/s for minutes.
    pub queue_limit: usize,
    /// Members that are told immediately of a leave or a refutation.
    pub push_fanout: usize,
    /// Time between two rounds of anti-entropy.
    pub anti_entropy_period: Duration,
    /// Time until the next round when the last one was cut short by its bounds.
    pub anti_entropy_pause: Duration,
    /// Most buckets listed in one round of anti-entropy.
    pub anti_entropy_buckets: u32,
    /// One in this many rounds of anti-entropy goes to a seed or a `Dead` member, which rejoins
    /// groups of daemons that hold each other for dead.
    pub reconnect_interval: u32,
    /// Most records in one message of anti-entropy or join.
    pub chunk_records: usize,
    /// Records learned in one anti-entropy message are gossiped further up to this number. A
    /// larger repair is left to anti-entropy, which sends each record once per receiver.
    pub regossip_limit: usize,
    /// Time without a message from another data centre after which one of its members is probed.
    pub reachability_period: Duration,
    /// The same after such a probe has failed.
    pub reachability_retry: Duration,
    /// The same while the data centre is unreachable.
    pub unreachable_retry: Duration,
    /// Failed probes after which another data centre is unreachable.
    pub reachability_failures: u32,
    /// Time without any message after which the daemon draws no conclusions from missing replies.
    pub isolation_timeout: Duration,
    /// Delay of a tick beyond which the process was paused and replies may still be unread.
    pub pause_threshold: Duration,
    /// Time for which `Dead` and `Left` records are kept. Far longer than a partition between
    /// regions (minutes), so that no daemon still holds an earlier state when it is removed.
    pub retention: Duration,
    /// Time to wait for a seed's reply.
    pub join_timeout: Duration,
    /// Longest delay before the seeds are tried again.
    pub join_backoff: Duration,
    /// Failed connections in a row to the own backend server after which it is `Leaving`.
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
