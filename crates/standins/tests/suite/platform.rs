//! Platform stand-in behind its client.

use std::time::{Duration, Instant};

use async_std::task;
use shallottack_http::{Pool, PoolSettings};
use shallottack_platform::{
    CommitError, HttpPlatform, HttpSettings, ObjectError, ObjectStore, Table, Transaction,
    decode_object, encode_object,
};
use shallottack_standins::{
    PlatformServer, PlatformSettings, fetch_json,
    platform::{Counts, Faults, Outage, Tear},
};

async fn start(settings: PlatformSettings) -> (PlatformServer, HttpPlatform) {
    let server = PlatformServer::start(settings).await.unwrap();
    let settings = HttpSettings::new(vec![server.address()], "platform");
    let client =
        HttpPlatform::new(HttpSettings { timeout: Duration::from_millis(300), ..settings });
    (server, client)
}

#[test]
fn table_and_objects_behave_as_in_memory() {
    task::block_on(async {
        let (server, client) = start(PlatformSettings::default()).await;
        for key in ["a/1", "a/2", "a/../3", "b/1"] {
            let value = key.as_bytes().to_vec();
            client.commit(Transaction::default().when(key, None).put(key, value)).await.unwrap();
        }
        let row = client.read("a/../3").await.unwrap().unwrap();
        assert_eq!(Some(&row), server.memory().read("a/../3").await.unwrap().as_ref());
        assert_eq!(client.read("a").await.unwrap(), None);
        let scanned = client.scan("a/", "a/1", 10).await.unwrap();
        assert_eq!(scanned, server.memory().scan("a/", "a/1", 10).await.unwrap());
        assert_eq!(scanned[0].key, "a/2");
        let taken = client.commit(Transaction::default().when("a/1", None).remove("b/1")).await;
        assert_eq!(taken, Err(CommitError::Conflict { key: "a/1".to_owned() }));
        client.put("o/1", b"body".to_vec()).await.unwrap();
        assert_eq!(client.get("o/1").await.unwrap(), b"body");
        client.delete("o/1").await.unwrap();
        assert_eq!(client.get("o/1").await, Err(ObjectError::Missing("o/1".to_owned())));
        let counts = server.counts();
        assert_eq!((counts.reads, counts.writes, counts.conflicts), (3, 5, 1));
    });
}

/// A lost response must leave the write in effect and its outcome unknown.
#[test]
fn a_lost_answer_is_unknown_and_applied() {
    task::block_on(async {
        let (server, client) = start(PlatformSettings::default()).await;
        server.set_faults(Faults { lost_answers: 1, ..Faults::default() });
        let error = client.commit(Transaction::default().put("a", vec![1])).await.unwrap_err();
        assert!(matches!(error, CommitError::Unknown(_)), "{error}");
        assert_eq!(client.read("a").await.unwrap().unwrap().value, [1]);
    });
}

/// An outage must never look like an applied write, and a refused one is certainly not applied.
#[test]
fn outages_apply_nothing() {
    task::block_on(async {
        let (server, client) = start(PlatformSettings::default()).await;
        for outage in [Outage::Refuse, Outage::Close, Outage::Silent] {
            server.set_faults(Faults { outage, ..Faults::default() });
            let error = client.commit(Transaction::default().put("a", vec![1])).await.unwrap_err();
            let refused = matches!(error, CommitError::Unavailable(_));
            assert_eq!(refused, outage == Outage::Refuse, "{outage:?}: {error}");
            client.read("a").await.unwrap_err();
        }
        server.set_faults(Faults::default());
        assert_eq!(client.read("a").await.unwrap(), None);
    });
}

#[test]
fn slowness_conflicts_and_torn_objects_come_from_the_control_path() {
    task::block_on(async {
        let (server, client) = start(PlatformSettings::default()).await;
        let (pool, address) = (Pool::new(PoolSettings::default()), server.address());
        let faults = Faults { delay_ms: 30, conflicts: 1, ..Faults::default() };
        let () = fetch_json(&pool, address, "/control/faults", Some(&faults)).await.unwrap();
        let began = Instant::now();
        let transaction = || Transaction::default().when("a", None).put("a", vec![1]);
        let error = client.commit(transaction()).await.unwrap_err();
        assert_eq!(error, CommitError::Conflict { key: "a".to_owned() });
        assert!(began.elapsed() >= Duration::from_millis(30));
        client.commit(transaction()).await.unwrap();
        client.put("o", encode_object(b"body")).await.unwrap();
        let tear = Tear { name: "o".to_owned(), keep_bytes: 34 };
        let () = fetch_json(&pool, address, "/control/tear", Some(&tear)).await.unwrap();
        let torn = client.get("o").await.unwrap();
        assert_eq!(decode_object("o", &torn), Err(ObjectError::Corrupt("o".to_owned())));
        let counts: Counts =
            fetch_json(&pool, address, "/control/counts", None::<&()>).await.unwrap();
        assert_eq!((counts.writes, counts.conflicts, counts.object_calls), (2, 1, 2));
    });
}

#[test]
fn calls_over_the_rate_are_refused_as_not_run() {
    task::block_on(async {
        let limited = PlatformSettings { writes_per_s: 3, ..PlatformSettings::default() };
        let (server, client) = start(limited).await;
        let mut refused = 0;
        // Within two seconds, at most six of these fit.
        for key in 0..10 {
            let put = Transaction::default().put(key.to_string(), Vec::new());
            match client.commit(put).await {
                Ok(()) => {}
                Err(CommitError::Unavailable(_)) => refused += 1,
                Err(e) => panic!("{e}"),
            }
        }
        assert!(refused >= 4, "{refused}");
        assert_eq!(server.counts().refused, refused);
        assert_eq!(server.memory().scan("", "", 100).await.unwrap().len() as u64, 10 - refused);
    });
}
