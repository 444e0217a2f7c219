//! Control traffic of the membership protocol.

use shallottack_membership::Input;

use crate::driver::{Net, SEC, announcement};

/// Bytes that the envelope and the framing add to each message.
const ENVELOPE_BYTES: f64 = 100.0;

/// Limit on the membership traffic that one member sends, in bytes/s.
const LIMIT_BYTES: f64 = 600.0;

/// Runs for `seconds`, prints the traffic per member and returns it in bytes/s with envelopes.
fn measure(net: &mut Net, what: &str, seconds: u64, input: impl Fn(&mut Net, u64)) -> f64 {
    for node in &mut net.nodes {
        (node.sent_bytes, node.sent_messages) = (0, 0);
    }
    for second in 0..seconds {
        input(net, second);
        net.run_for(SEC);
    }
    let members = net.nodes.len();
    let per = members as f64 * seconds as f64;
    let bytes = net.nodes.iter().map(|it| it.sent_bytes).sum::<u64>() as f64 / per;
    let messages = net.nodes.iter().map(|it| it.sent_messages).sum::<u64>() as f64 / per;
    let total = bytes + messages * ENVELOPE_BYTES;
    println!(
        "{members} members, {what}: {messages:.2} messages/s, {bytes:.0} B/s, {total:.0} in all"
    );
    total
}

fn assert_bounded(data_centres: &[(&str, usize)]) {
    let mut net = Net::ready(1, data_centres);
    // The records of the start are still being gossiped; the network is quiet when that ends.
    let took = net.run_until(300 * SEC, |net| {
        net.running().iter().all(|&it| net.core(it).pending_gossip() == 0)
    });
    println!("records of the start sent after {:?}", took.expect("gossip does not end"));
    let quiet = measure(&mut net, "quiet", 60, |_, _| {});
    assert!(quiet <= LIMIT_BYTES, "{quiet} bytes/s");
    // 5,000 changes a day are one every 17 s; a backend server that restarts makes three of them.
    let busy = measure(&mut net, "5,000 changes/day", 102, |net, second| {
        let node = second as usize / 51;
        match second % 51 {
            0 => net.input(node, Input::Leave { notify: Vec::new() }),
            17 => net.input(node, Input::Announce(announcement())),
            34 => net.input(node, Input::BackendResponded),
            _ => {}
        }
    });
    assert!(busy <= LIMIT_BYTES, "{busy} bytes/s");
}

/// Guards against probes and anti-entropy exceeding membership's share of the control traffic.
#[test]
fn hundred_members_stay_within_traffic_limit() {
    assert_bounded(&[("kl-a", 40), ("kl-b", 30), ("kl-c", 30)]);
}

/// Guards against traffic per member that grows with the number of members.
#[test]
fn four_hundred_members_stay_within_traffic_limit() {
    assert_bounded(&["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"].map(|name| (name, 40)));
}
