//! Tests of claim rows, keys and the removal of expired rows.

use shallottack_claims::{
    Answer, AttemptId, ClaimRow, RequestDigest, State, StoredAnswer, check_key, claim_key,
    request_digest, sweep,
};

use crate::support::{Daemon, refused};

fn row(state: State, expires_ms: u64) -> ClaimRow {
    ClaimRow {
        attempt: AttemptId { nonce: 0xabc, number: 3 },
        endpoint: "kl-a-1".parse().unwrap(),
        digest: RequestDigest(u128::MAX),
        state,
        until_ms: 5,
        expires_ms,
    }
}

/// Guards against a change of the row encoding that daemons of another version can't decode.
#[test]
fn row_is_stored_as_json() {
    let answer = Answer { status: 201, headers: vec![("a".into(), "b".into())], body: vec![255] };
    let row = row(State::Done(StoredAnswer::Inline(answer.into())), 9);
    let json = serde_json::to_string(&row).unwrap();
    insta::assert_snapshot!(json);
    assert_eq!(serde_json::from_str::<ClaimRow>(&json).unwrap(), row);
}

/// Guards against a key that escapes the prefix of its service or names the object of another key.
#[test]
fn keys_are_checked() {
    assert_eq!(&*claim_key(&"order-desk".parse().unwrap(), "a:1"), "claim/order-desk/a:1");
    check_key("8e03978e-40d5-43dd-bc93-6894a57f9324").unwrap();
    for bad in ["", "a/b", "..", "a b", "%2f", "é", &"k".repeat(129)] {
        assert!(check_key(bad).is_err(), "{bad}");
    }
    let kind = refused(&Daemon::new(1).arrive(1, "../k2"));
    assert_eq!(kind, shallottack_kernel::ErrorKind::BadRequest);
}

/// Guards against equal digests of two requests whose concatenated parts are equal.
#[test]
fn digest_separates_the_parts() {
    assert_ne!(request_digest("POST", "/a", b"bc"), request_digest("POST", "/ab", b"c"));
    assert_eq!(request_digest("POST", "/a", b"bc"), request_digest("POST", "/a", b"bc"));
}

/// Guards against rows that are kept forever, and against removing a row that was taken over since
/// it was read.
#[test]
fn expired_rows_are_removed_under_their_revision() {
    let object = State::Done(StoredAnswer::Object("claim/a/k0/x".into()));
    let mut rows = vec![("claim/a/k0".to_owned(), 4, row(object, 100))];
    rows.extend((1..30).map(|i| (format!("claim/a/k{i}"), 4, row(State::Running, 100))));
    rows.push(("claim/a/young".to_owned(), 4, row(State::Running, 101)));
    let swept = sweep(&rows, 100, 25);
    let sizes: Vec<_> = swept.transactions.iter().map(|it| it.writes.len()).collect();
    assert_eq!(sizes, [25, 5]);
    let all = swept.transactions.iter().flat_map(|it| &it.conditions);
    assert!(all.into_iter().all(|it| it.revision == Some(4) && it.key != "claim/a/young"));
    assert_eq!(swept.objects[0].1, "claim/a/k0/x");
}
