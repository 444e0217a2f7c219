//! Timings and sizes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timings and sizes of the core.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Time between two probes of members of the own data centre.
    pub probe_period: Duration,
    /// The same while several members of the own data centre are suspected. At the normal rate,
    /// probes find 40 % of a data centre failed only after more than `suspicion`, so that a mass
    /// failure would be noticed after the first members became `Dead`.
    pub urgent_probe_period: Duration,
    /// Time after which a direct probe without a reply is followed by indirect probes.
    pub direct_timeout: Duration,
    /// Time after which a probe without any reply has failed.
    pub probe_timeout: Duration,
    /// Time after which a helper reports that the target did not answer. Shorter than
    /// `probe_timeout` less `direct_timeout`, so that the report arrives in time.
    pub relay_timeout: Duration,
    /// Number of members asked to probe indirectly.
    pub helpers: usize,
    /// Time within which a suspicion can be refuted.
    pub suspicion: Duration,
    /// The same during a mass failure, and for members of other data centres, whose own peers
    /// decide first.
    pub mass_suspicion: Duration,
    /// Time without a further suspicion in a data centre after which their number is taken as
    /// final and compared with the limit of a mass failure.
    pub suspicion_settle: Duration,
    /// Time between two rounds of gossip while there are records to send.
    pub gossip_period: Duration,
    /// Messages per round of gossip.
    pub gossip_fanout: usize,
    /// One in this many gossip targets is in another data centre.
    pub remote_share: u32,
    /// Records of one message take at most about this many bytes.
    pub gossip_bytes: usize,
    /// Factor of log2(members) in the number of sends of a new record.
    pub gossip_factor: u32,
    /// The first sends of a record, one in this many, get messages of their own. The others wait
    /// for probes and replies: by then most members know the record, and messages of their own
    /// would make up a fifth of the control traffic at 5,000 changes a day.
    pub gossip_own_share: u32,
    /// Most records being gossiped. Beyond it those sent most often are dropped and left to
    /// anti-entropy: when 400 daemons restart at once, gossiping all of their records takes each
    /// daemon 2.6 KB/s for minutes.
    pub gossip_records: usize,
    /// Members that are told immediately of a leave or a refutation.
    pub push_fanout: usize,
    /// Time between two rounds of anti-entropy.
    pub entropy_period: Duration,
    /// Time until the next round when the last one was cut short by its bounds.
    pub entropy_pause: Duration,
    /// Most buckets listed in one round of anti-entropy.
    pub entropy_buckets: u32,
    /// One in this many rounds of anti-entropy goes to a seed or a `Dead` member, which rejoins
    /// groups of daemons that hold each other for dead.
    pub reconnect_share: u32,
    /// Most records in one message of anti-entropy or join.
    pub chunk_records: usize,
    /// Records learned in one anti-entropy message are gossiped further up to this number. A
    /// larger repair is left to anti-entropy, which sends each record once per receiver.
    pub regossip_records: usize,
    /// Time without a message from another data centre after which one of its members is probed.
    pub contact_period: Duration,
    /// The same after such a probe has failed.
    pub contact_retry: Duration,
    /// The same while the data centre is unreachable.
    pub contact_cut: Duration,
    /// Failed probes after which another data centre is unreachable.
    pub contact_failures: u32,
    /// Time without any message after which the daemon draws no conclusions from missing replies.
    pub isolation: Duration,
    /// Delay of a tick beyond which the process was paused and replies may still be unread.
    pub pause_limit: Duration,
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
            relay_timeout: Duration::from_millis(350),
            helpers: 3,
            suspicion: Duration::from_secs(3),
            mass_suspicion: Duration::from_secs(10),
            suspicion_settle: Duration::from_secs(1),
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 2,
            remote_share: 8,
            gossip_bytes: 600,
            gossip_factor: 3,
            gossip_own_share: 3,
            gossip_records: 64,
            push_fanout: 8,
            entropy_period: Duration::from_secs(5),
            entropy_pause: Duration::from_millis(250),
            entropy_buckets: 8,
            reconnect_share: 6,
            chunk_records: 128,
            regossip_records: 8,
            contact_period: Duration::from_secs(20),
            contact_retry: Duration::from_secs(1),
            contact_cut: Duration::from_secs(3),
            contact_failures: 3,
            isolation: Duration::from_secs(3),
            pause_limit: Duration::from_millis(400),
            retention: Duration::from_secs(3600),
            join_timeout: Duration::from_secs(1),
            join_backoff: Duration::from_secs(5),
            connect_failures: 3,
        }
    }
}
