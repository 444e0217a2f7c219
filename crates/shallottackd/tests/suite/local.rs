//! One daemon with an in-process platform and backend server.

use async_std::task::block_on;
use tide::http::Method;

use crate::support::{eventually, send, settings, start};

const CHANGE: &str = r#"{
    "id": "first",
    "base": { "epoch": 0, "seq": 0 },
    "upserts": [
        { "class": { "name": "dawn-lookup", "latency": { "quantile": 0.99, "within_ms": 80 },
                     "failures": 0.001, "deadline_ms": 1000, "idempotent": true } },
        { "service": { "name": "garden-book", "group": "v1" } },
        { "route": { "name": "rounds", "prefix": "/rounds", "methods": ["GET"],
                     "class": "dawn-lookup", "service": "garden-book" } }
    ]
}"#;

/// Guards against a daemon that serves requests before it holds a configuration, and against an
/// accepted change that does not reach the routes.
#[test]
fn a_declared_route_is_served() {
    block_on(async {
        let daemon = start(&settings("garden-book-1")).await;
        let addresses = daemon.addresses();
        let early = send(addresses.callers, Method::Get, "/rounds/7", None).await.unwrap();
        // 503 until the platform was read, then 404: no configuration was ever accepted.
        assert!(matches!(u16::from(early.status()), 503 | 404), "{}", early.status());
        assert_eq!(early.header("shallottack-run"), Some("no"));

        let path = "/v1/config/changes";
        let accepted = send(addresses.operators, Method::Post, path, Some(CHANGE.into())).await;
        assert_eq!(
            String::from_utf8(accepted.unwrap().body).unwrap(),
            r#"{"version":{"epoch":0,"seq":1},"merged":false}"#
        );
        let body = eventually("the route is served", || async {
            let answer = send(addresses.callers, Method::Get, "/rounds/7", None).await.ok()?;
            answer.status().is_success().then_some(answer.body)
        })
        .await;
        assert_eq!(body, b"garden-book answers GET /rounds/7\n");
        let other = send(addresses.callers, Method::Post, "/rounds/7", None).await.unwrap();
        assert_eq!(other.header("shallottack-error"), Some("no-route"));
        assert_eq!(daemon.stop().await.aborted, 0);
    });
}

/// Guards against a repeated submission that is applied twice or told as failed.
#[test]
fn a_repeated_change_is_accepted_once() {
    block_on(async {
        let daemon = start(&settings("garden-book-1")).await;
        let operators = daemon.addresses().operators;
        for _ in 0..2 {
            let path = "/v1/config/changes?repeat=true";
            let answer = send(operators, Method::Post, path, Some(CHANGE.into())).await.unwrap();
            assert_eq!(answer.status(), 200);
            assert!(answer.body.starts_with(br#"{"version":{"epoch":0,"seq":1}"#));
        }
    });
}

/// Guards against an operators' API that answers without a token.
#[test]
fn a_wrong_token_is_refused() {
    block_on(async {
        let daemon = start(&settings("garden-book-1")).await;
        let operators = daemon.addresses().operators;
        for path in ["/v1/config", "/v1/status", "/v1/classes"] {
            let url = format!("http://{operators}{path}");
            let request =
                tide::http::Request::new(Method::Get, tide::http::Url::parse(&url).unwrap());
            let pool = shallottack_http::Pool::new(shallottack_http::PoolSettings::default());
            let within = std::time::Duration::from_secs(5);
            let answer = pool.send(operators, request, within).await.unwrap();
            assert_eq!(answer.status(), 401, "{path}");
        }
    });
}
