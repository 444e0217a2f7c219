//! Probes piggybacked on other messages, and reports from and to new members.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use shallottack_config::Version;
use shallottack_distribution::{
    Action, Distribution, Input, KnownSource, Message, Peer, Report, SenderState, Settings,
};
use shallottack_kernel::Time;

fn peer(name: &str) -> Peer {
    Peer { endpoint: name.parse().unwrap(), data_centre: "medina".parse().unwrap() }
}

fn probes(actions: &[Action]) -> usize {
    let probe = |it: &&Action| matches!(it, Action::Send { message: Message::Probe { .. }, .. });
    actions.iter().filter(probe).count()
}

/// Guards against probes sent in envelopes of their own although they could be piggybacked on other
/// messages, which doubles the traffic of an idle fleet.
#[test]
fn probe_is_piggybacked_on_another_message() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut core = Distribution::new(Settings::default(), peer("a"), Time(0), &mut rng);
    core.handle(Time(0), &mut rng, Input::Peers(vec![peer("a"), peer("b"), peer("c")]));
    let (mut piggybacked, mut alone) = (0, 0);
    for round in 1..=64 {
        let now = Time::from_millis(round * 1_000);
        let to = "b".parse().unwrap();
        let first = probes(&core.handle(now, &mut rng, Input::Piggyback { to }));
        let to = "c".parse().unwrap();
        let soon = now + Duration::from_millis(100);
        let second = probes(&core.handle(soon, &mut rng, Input::Piggyback { to }));
        assert!(first + second <= 1, "two probes within 100 ms");
        piggybacked += first + second;
        let before_next = now + Duration::from_millis(900);
        alone += probes(&core.handle(before_next, &mut rng, Input::Tick));
    }
    // Every eighth probe goes to another data centre in a message of its own. The next probe may be
    // sent separately too, because the interval after a separate probe is random.
    assert!(alone <= 64 / 8 * 2, "{alone} separate probes, {piggybacked} piggybacked");
    assert!(piggybacked >= 64 / 8 * 6, "{piggybacked} piggybacked probes, {alone} separate");
}

/// Guards against a report that is dropped because its sender's membership record has not arrived
/// yet, or because the sender was briefly suspected. It would be missing from the status for 10 s.
#[test]
fn report_is_kept_when_the_members_change() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut core = Distribution::new(Settings::default(), peer("a"), Time(0), &mut rng);
    let from: shallottack_kernel::EndpointId = "b".parse().unwrap();
    let report = Report { daemons: 1, lowest: Version::ZERO, lagging: Vec::new() };
    let input = Input::Message { from: from.clone(), message: Message::Report(report) };
    core.handle(Time(0), &mut rng, input);
    let holder: shallottack_kernel::EndpointId = "a".parse().unwrap();
    for peers in [vec![peer("a"), peer("b")], vec![peer("a")], vec![peer("a"), peer("b")]] {
        core.handle(Time(0), &mut rng, Input::Peers(peers));
    }
    let sender = SenderState {
        version: Version::ZERO,
        in_force: false,
        source: Some(KnownSource { data_centre: peer("a").data_centre, holder, epoch: 1 }),
    };
    core.handle(Time(0), &mut rng, Input::Message { from, message: Message::Probe { sender } });
    assert_eq!(core.report().daemons, 2);
}

/// Guards against a report that is lost because the source's membership record, and with it its
/// address, has not arrived yet. It would be repeated only after 10 s.
#[test]
fn report_waits_for_the_record_of_its_receiver() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut core = Distribution::new(Settings::default(), peer("b"), Time(0), &mut rng);
    let holder: shallottack_kernel::EndpointId = "a".parse().unwrap();
    let source =
        KnownSource { data_centre: peer("a").data_centre, holder: holder.clone(), epoch: 1 };
    let sender = SenderState { version: Version::ZERO, in_force: false, source: Some(source) };
    let from = "c".parse().unwrap();
    core.handle(Time(0), &mut rng, Input::Peers(vec![peer("b"), peer("c")]));
    core.handle(Time(0), &mut rng, Input::Message { from, message: Message::Probe { sender } });
    let mut reports = |now: u64, core: &mut Distribution| {
        let actions = core.handle(Time::from_millis(now), &mut rng, Input::Tick);
        let report = |it: &&Action| matches!(it, Action::Send { to, message: Message::Report(_) } if *to == holder);
        actions.iter().filter(report).count()
    };
    assert_eq!(reports(3_000, &mut core), 0);
    let mut other = StdRng::seed_from_u64(2);
    core.handle(Time::from_millis(3_100), &mut other, Input::Peers(vec![peer("a"), peer("c")]));
    assert_eq!(reports(4_100, &mut core), 1);
}
