//! HTTP applications of the ports for callers, other daemons and the backend server.

use std::sync::Arc;

use tide::Request;

use crate::calls::Calls;

/// Returns the application of the callers' port.
pub(crate) fn callers(calls: Arc<Calls>) -> tide::Server<Arc<Calls>> {
    async fn answer(request: Request<Arc<Calls>>) -> tide::Result {
        let calls = Arc::clone(request.state());
        Ok(calls.caller(request.into()).await.into())
    }
    let mut app = tide::with_state(calls);
    app.at("/").all(answer);
    app.at("/*").all(answer);
    app
}

/// Returns the application of the relay port.
pub(crate) fn relay(calls: Arc<Calls>) -> tide::Server<Arc<Calls>> {
    async fn answer(request: Request<Arc<Calls>>) -> tide::Result {
        let calls = Arc::clone(request.state());
        Ok(calls.relay(request.into()).await.into())
    }
    let mut app = tide::with_state(calls);
    app.at("/").all(answer);
    app.at("/*").all(answer);
    app
}

/// Returns the application of the announce port.
pub(crate) fn announce(calls: Arc<Calls>) -> tide::Server<Arc<Calls>> {
    let mut app = tide::with_state(calls);
    app.at("/announce").post(|request: Request<Arc<Calls>>| async move {
        let calls = Arc::clone(request.state());
        Ok(tide::Response::from(calls.announce(request.into()).await))
    });
    app.at("/leave").post(|request: Request<Arc<Calls>>| async move {
        Ok(tide::Response::from(Arc::clone(request.state()).leave().await))
    });
    app
}
