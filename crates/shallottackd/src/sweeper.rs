//! Removal of expired claims of keyed requests, by the sources.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use shallottack_claims::{ClaimRow, sweep};

use crate::mesh::Mesh;

/// Time between two sweeps by one source. Rows are kept for a day, so that ten sources which each
/// sweep every ten minutes leave few expired ones.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);
/// Rows read in one request.
const SCAN_ROWS: usize = 200;
/// Rows removed in one transaction.
const REMOVE_ROWS: usize = 25;
/// Pause between two requests, so that a sweep takes few of the table's reads.
const PAUSE: Duration = Duration::from_millis(100);

/// Removes expired claims from time to time.
#[derive(Debug, Default)]
pub(crate) struct Sweeper {
    last: Option<Instant>,
}

impl Sweeper {
    /// Sweeps when the last sweep was long enough ago. A failed one is made up for by the next.
    pub(crate) async fn sweep_if_due(&mut self, mesh: &Arc<Mesh>) {
        let last = *self.last.get_or_insert_with(Instant::now);
        if last.elapsed() >= SWEEP_INTERVAL {
            self.last = Some(Instant::now());
            async_std::task::spawn(sweep_all(Arc::clone(mesh)));
        }
    }
}

async fn sweep_all(mesh: Arc<Mesh>) {
    let platform = mesh.store().platform();
    let mut after = String::new();
    loop {
        let Ok(rows) = platform.scan("claim/", &after, SCAN_ROWS).await else { return };
        let Some(last) = rows.last() else { return };
        after = last.key.clone();
        let claims: Vec<(String, u64, ClaimRow)> = rows
            .into_iter()
            .filter_map(|row| {
                let claim = serde_json::from_slice(&row.value).ok()?;
                Some((row.key, row.revision, claim))
            })
            .collect();
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let expired = sweep(&claims, wall_ms as u64, REMOVE_ROWS);
        for transaction in expired.transactions {
            // A conflict means that the row was claimed again.
            let _ = platform.commit(transaction).await;
        }
        for (_, name) in expired.objects {
            let _ = platform.delete(&name).await;
        }
        async_std::task::sleep(PAUSE).await;
    }
}
