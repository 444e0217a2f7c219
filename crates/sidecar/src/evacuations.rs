//! Evacuated data centres: rows of the operators, and their effect on this daemon.

use std::{sync::Arc, time::Duration};

use shallottack_fleet::{ColdSign, Evacuation, EvacuationUpdate, RowVersion};
use shallottack_kernel::ErrorKind;
use shallottack_site::{evacuation, store::Rows};

use crate::{
    events::Event,
    follow::log_malformed,
    message::OrderRow,
    node::{Node, Shared},
};

/// `Retry-After` of a request for a backend server of an evacuated data centre. It is sent to
/// another one, and callers learn of the evacuation within the time.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_millis(250);

impl Node {
    /// Applies the evacuations among rows of the operators' table that were read from the store.
    ///
    /// `whole` states whether these are all rows of the table.
    pub fn apply_evacuation_rows(self: &Arc<Self>, rows: &Rows, whole: bool) {
        let mut read = Vec::new();
        for row in rows.rows.iter().filter(|it| evacuation::is_evacuation(&it.key)) {
            match evacuation::decode(&row.key, row.version, row.value.as_deref()) {
                Ok(row) => read.push(row),
                Err(reason) => log_malformed(self, &row.key, &reason),
            }
        }
        self.change_evacuations("store", |it| it.evacuations.apply_read(read, rows.version, whole));
    }

    /// Applies the row of an evacuation that the daemon of the VM `source` has passed on.
    pub fn apply_evacuation(self: &Arc<Self>, row: &OrderRow, source: &str) {
        match evacuation::decode(&row.key, row.row, row.bytes.as_deref()) {
            Ok(row) => self.change_evacuations(source, |it| match it.evacuations.apply(&row) {
                EvacuationUpdate::Stale => None,
                update => Some((row, update)),
            }),
            Err(reason) => log_malformed(self, &row.key, &reason),
        }
    }

    /// Changes the known evacuations, and applies the changes to placement and to the slots.
    fn change_evacuations<C>(self: &Arc<Self>, source: &str, change: impl FnOnce(&mut Shared) -> C)
    where
        C: IntoIterator<Item = (Evacuation, EvacuationUpdate)>,
    {
        let now = self.now();
        let mut changed = false;
        {
            let mut shared = self.shared();
            let before = shared.is_evacuated();
            for (row, update) in change(&mut shared) {
                changed = true;
                shared.newest_order = shared.newest_order.max(row.version);
                self.log_evacuation(&row, update, source);
            }
            if !changed {
                return;
            }
            let shared = &mut *shared;
            shared.placement.set_evacuated(shared.evacuations.active());
            if before && !shared.is_evacuated() {
                // Backend servers without requests may become cold.
                shared.slots.suspect_cold(now, ColdSign::Returned);
            }
            let limit = shared.slot_limit();
            let wakes = shared.slots.set_limit(now, limit);
            shared.wake(&wakes);
        }
        self.announce();
    }

    fn log_evacuation(&self, row: &Evacuation, update: EvacuationUpdate, source: &str) {
        let state = match update {
            EvacuationUpdate::Begun => "begun",
            EvacuationUpdate::Ended => "ended",
            EvacuationUpdate::Renewed | EvacuationUpdate::Stale => return,
        };
        let RowVersion { era, number: row_number } = row.version;
        let data_centre = row.data_centre.as_str();
        self.events.write(&Event::Evacuation { data_centre, state, era, row: row_number, source });
    }

    /// Returns why a request is refused, and when to retry, while this data centre is evacuated.
    ///
    /// # Errors
    ///
    /// Returns the kind of error and the time.
    pub fn check_evacuation(&self) -> Result<(), (ErrorKind, Duration)> {
        if self.shared().is_evacuated() {
            return Err((ErrorKind::NoEndpoint, EVACUATED_RETRY_AFTER));
        }
        Ok(())
    }
}

impl Shared {
    /// Returns whether the data centre of this daemon is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.own.data_centre)
    }

    /// Returns the number of requests that may run at the backend server on this VM now.
    pub fn slot_limit(&self) -> u32 {
        let offered = self.may_offer() && !self.is_evacuated();
        self.local.server().filter(|_| offered).map_or(0, |it| it.slots)
    }

    /// Returns the operators' rows that other daemons fetch, besides the configuration.
    pub fn order_rows(&self) -> Vec<OrderRow> {
        let evacuations = self.evacuations.rows().map(|it| {
            let (key, bytes) = evacuation::encode(&it);
            OrderRow { key, row: it.version, bytes }
        });
        evacuations.chain(self.orders.values().cloned()).collect()
    }
}
