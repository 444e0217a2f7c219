//! Volume of the control traffic.

use std::time::Duration;

use shallottack_membership::Input;

use crate::driver::{Net, SEC, announcement};

/// Allowance for the envelope and the framing of one message.
const ENVELOPE_BYTES: f64 = 100.0;

/// Stated bound per member in the quiet state.
const QUIET_BYTES: f64 = 600.0;

/// Returns messages/s, bytes/s and bytes/s with envelopes per member over `time`.
fn rates(net: &mut Net, time: Duration, mut each_second: impl FnMut(&mut Net, u64)) -> [f64; 3] {
    for node in &mut net.nodes {
        (node.sent_bytes, node.sent_messages) = (0, 0);
    }
    for second in 0..time.as_secs() {
        each_second(net, second);
        net.run(SEC);
    }
    let per = net.nodes.len() as f64 * time.as_secs_f64();
    let bytes = net.nodes.iter().map(|it| it.sent_bytes).sum::<u64>() as f64 / per;
    let messages = net.nodes.iter().map(|it| it.sent_messages).sum::<u64>() as f64 / per;
    [messages, bytes, bytes + messages * ENVELOPE_BYTES]
}

fn assert_quiet(data_centres: &[(&str, usize)]) {
    let mut net = Net::ready(1, data_centres);
    let members = net.nodes.len();
    let [messages, bytes, total] = rates(&mut net, 60 * SEC, |_, _| {});
    println!(
        "{members} members, quiet: {messages:.2} messages/s, {bytes:.0} B/s, {total:.0} B/s with envelopes"
    );
    assert!(total <= QUIET_BYTES, "{total} bytes/s");
    let slots = |it: u64| (it as u32 % 7) + 3;
    // At 5,000 changes a day, each restart being three of them, one endpoint restarts its backend
    // server every 52 s.
    let [messages, bytes, total] = rates(&mut net, 104 * SEC, |net, second| {
        if second % 52 == 0 {
            let node = second as usize % members;
            let mut changed = announcement();
            changed.slots = slots(second / 52);
            net.input(node, Input::Leave { callers: Vec::new() });
            net.input(node, Input::Announce(changed));
            net.input(node, Input::Succeeded);
        }
    });
    println!(
        "{members} members, 5,000 changes/day: {messages:.2} messages/s, {bytes:.0} B/s, {total:.0} B/s with envelopes"
    );
}

/// Guards against probes and anti-entropy that take more than membership's share of the control
/// traffic.
#[test]
fn hundred_members_stay_within_the_bound() {
    assert_quiet(&[("kl-a", 40), ("kl-b", 30), ("kl-c", 30)]);
}

/// Guards against traffic per member that grows with the number of members.
#[test]
fn four_hundred_members_stay_within_the_bound() {
    assert_quiet(&[
        ("a", 40),
        ("b", 40),
        ("c", 40),
        ("d", 40),
        ("e", 40),
        ("f", 40),
        ("g", 40),
        ("h", 40),
        ("i", 40),
        ("j", 40),
    ]);
}
