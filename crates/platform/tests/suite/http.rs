//! Tests of the HTTP client: the result of each kind of response and failure.

use std::{net::SocketAddr, time::Duration};

use async_std::{net::TcpListener, task};
use proptest::prelude::*;
use shallottack_http::{Limits, Serving, serve};
use shallottack_platform::{
    CommitError, HttpPlatform, HttpSettings, ObjectError, ObjectStore, Table, Transaction,
    decode_name, encode_name,
};
use tide::{Request, Response};

/// Answers every request with `status` and `body`, or never if `body` is `pending`.
async fn start_server(status: u16, run: Option<&'static str>, body: &'static str) -> Serving {
    let mut app = tide::new();
    app.at("*").all(move |request: Request<()>| async move {
        if request.header("authorization").is_none_or(|value| value.as_str() != "Bearer secret") {
            return Ok(Response::new(401));
        }
        if body == "pending" {
            std::future::pending::<()>().await;
        }
        let mut response = Response::new(status);
        response.set_body(body);
        if let Some(run) = run {
            response.insert_header("shallottack-run", run);
        }
        Ok(response)
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, app, Limits::default()).unwrap()
}

fn client(addresses: &[SocketAddr], token: &str) -> HttpPlatform {
    let settings = HttpSettings::new(addresses.to_vec(), token);
    HttpPlatform::new(HttpSettings { timeout: Duration::from_millis(200), ..settings })
}

async fn commit_to(status: u16, run: Option<&'static str>, body: &'static str) -> CommitError {
    let server = start_server(status, run, body).await;
    let platform = client(&[server.address()], "secret");
    platform.commit(Transaction::default()).await.unwrap_err()
}

async fn closed_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// A write that may have taken effect must never be reported as certainly not applied.
#[test]
fn only_certain_refusals_are_unavailable() {
    task::block_on(async {
        for (status, run, body) in [
            (500, None, ""),
            (503, None, ""),
            (503, Some("unknown"), ""),
            (504, None, ""),
            (409, None, "no key"),
            (200, None, "pending"),
        ] {
            let error = commit_to(status, run, body).await;
            assert!(matches!(error, CommitError::Unknown(_)), "{status} {run:?}: {error}");
        }
        for (status, run) in [(503, Some("no")), (429, Some("no")), (400, None), (413, None)] {
            let error = commit_to(status, run, "").await;
            assert!(matches!(error, CommitError::Unavailable(_)), "{status} {run:?}: {error}");
        }
        let conflict = commit_to(409, None, r#"{"key":"config/head","revision":null}"#).await;
        assert_eq!(conflict, CommitError::Conflict { key: "config/head".to_owned() });
    });
}

#[test]
fn wrong_token_or_closed_port_is_unavailable() {
    task::block_on(async {
        let server = start_server(200, None, "").await;
        for platform in [client(&[server.address()], "wrong"), client(&[closed_port().await], "")] {
            let error = platform.commit(Transaction::default()).await.unwrap_err();
            assert!(matches!(error, CommitError::Unavailable(_)), "{error}");
            platform.read("a").await.unwrap_err();
        }
    });
}

/// The client must skip an unreachable address, but must not send a commit that may have reached
/// one address to another.
#[test]
fn next_address_is_tried_only_if_nothing_was_sent() {
    task::block_on(async {
        let (good, silent) =
            (start_server(200, None, "").await, start_server(200, None, "pending").await);
        let platform = client(&[closed_port().await, good.address()], "secret");
        assert_eq!(platform.commit(Transaction::default()).await, Ok(()));
        let platform = client(&[silent.address(), good.address()], "secret");
        let before = good.traffic().requests;
        let error = platform.commit(Transaction::default()).await.unwrap_err();
        assert!(matches!(error, CommitError::Unknown(_)), "{error}");
        assert_eq!(good.traffic().requests, before);
    });
}

#[test]
fn missing_object_is_distinguished_from_outage() {
    task::block_on(async {
        let missing = start_server(404, None, "").await;
        let found = client(&[missing.address()], "secret").get("a").await;
        assert_eq!(found, Err(ObjectError::Missing("a".to_owned())));
        let down = start_server(503, None, "").await;
        let found = client(&[down.address()], "secret").get("a").await;
        assert!(matches!(found, Err(ObjectError::Unavailable(_))), "{found:?}");
    });
}

proptest! {
    /// Keys contain the callers' `Idempotency-Key` values, none of which may address another row.
    #[test]
    fn encoded_names_decode_to_themselves(name in "\\PC{0,20}|claim/[./%+ ]{1,8}") {
        let encoded = encode_name(&name);
        prop_assert!(!encoded.contains(['/', '?', '#', '&', ' ']));
        prop_assert_eq!(decode_name(&encoded), name);
    }
}
