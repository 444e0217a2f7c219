//! Encoding of messages between daemons.

use std::sync::Arc;

use shallottack_membership::{Body, Input, Member, Message, Summary};

use crate::driver::{Net, WALL_CLOCK};

fn member() -> Arc<Member> {
    let mut net = Net::new(1, &[("medina", 1)]);
    net.start(0, WALL_CLOCK);
    Arc::new(net.record(0))
}

/// Guards against serde attributes that postcard can encode but not decode.
#[test]
fn every_message_round_trips_through_postcard() {
    let id = member().endpoint.clone();
    let bodies = [
        Body::Gossip,
        Body::Probe { seq: 7 },
        Body::Ack { seq: 7 },
        Body::IndirectProbe { seq: 7, target: id.clone() },
        Body::Nack { seq: 7 },
        Body::Digests { digests: vec![[1, 2, 3, 255]; 64] },
        Body::Summaries {
            buckets: u64::MAX,
            entries: vec![Summary { key: [1; 4], digest: [2; 4] }],
            more: true,
        },
        Body::Records { records: vec![member()], wanted: vec![[9; 4]] },
        Body::Join { after: Some(id.clone()) },
        Body::JoinReply { records: vec![member()], next: None },
    ];
    for body in bodies {
        let message = Message { body, gossip: vec![member()] };
        let bytes = postcard::to_stdvec(&message).unwrap();
        assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message);
        let input = Input::Message { from: id.clone(), message };
        let bytes = postcard::to_stdvec(&input).unwrap();
        assert_eq!(postcard::from_bytes::<Input>(&bytes).unwrap(), input);
    }
}

/// Guards against messages that exceed their share of the control traffic.
#[test]
fn messages_stay_small() {
    let bytes = |body| postcard::to_stdvec(&Message { body, gossip: Vec::new() }).unwrap().len();
    assert!(bytes(Body::Probe { seq: 65_535 }) <= 5);
    assert!(bytes(Body::Digests { digests: vec![[255; 4]; 64] }) <= 260);
    assert!(postcard::to_stdvec(&member()).unwrap().len() <= 80);
}
