//! Notice that a caller has closed its connection while its request is in progress.

use std::time::Duration;

use async_std::{net::TcpStream, task};

/// Time between looks at a connection that holds unread bytes, behind which its end is not
/// visible; well under the half second in which a cancelled request has to stop.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Waits until the other side has closed `stream`.
///
/// hyper notices this itself unless it has read bytes of a further request already.
pub async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => task::sleep(LOOK_EVERY).await,
        }
    }
}
