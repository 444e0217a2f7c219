//! Data centres that the operators evacuate: no request is sent to their backend servers.
//!
//! Operators write one row for each evacuation and remove it when they take the data centre back.
//! Rows and removals reach a daemon from the store and from other daemons, in any order. The version
//! of a row orders them; a removal has a version of its own.

use std::collections::BTreeMap;

use shallottack_kernel::DataCentre;
use smallvec::SmallVec;

use crate::{Placement, RowVersion};

/// Row of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Version of the row, or of its removal.
    pub version: RowVersion,
    /// Whether the data centre is evacuated; false if the row was removed.
    pub active: bool,
}

/// Effect of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// The evacuation begins.
    Begun,
    /// The evacuation has ended.
    Ended,
    /// A newer version of what was known before.
    Renewed,
    /// The row is known, or is older than what is known.
    Stale,
}

/// Evacuations that this daemon knows of, and those that have ended.
#[derive(Debug, Default)]
pub struct Evacuations {
    rows: BTreeMap<DataCentre, (RowVersion, bool)>,
    /// Version of the store up to which this daemon has read all changes.
    read_to: RowVersion,
}

impl Evacuations {
    /// Applies a row that another daemon passed on.
    pub fn apply(&mut self, row: &Evacuation) -> EvacuationUpdate {
        // This daemon would know a row that existed at this version.
        let removed = !self.rows.contains_key(&row.data_centre) && row.version <= self.read_to;
        if removed { EvacuationUpdate::Stale } else { self.record(row) }
    }

    /// Applies rows read from the store up to the version `read_to`, and returns those that changed
    /// anything.
    ///
    /// `whole` states whether they are all rows of the table, so that missing ones were removed.
    pub fn apply_read(
        &mut self,
        rows: impl IntoIterator<Item = Evacuation>,
        read_to: RowVersion,
        whole: bool,
    ) -> SmallVec<[(Evacuation, EvacuationUpdate); 2]> {
        let mut rows: SmallVec<[Evacuation; 4]> = rows.into_iter().collect();
        if whole {
            let missing = self.rows.iter().filter(|(name, (_, active))| {
                *active && !rows.iter().any(|it| it.data_centre == **name)
            });
            let missing: SmallVec<[DataCentre; 2]> = missing.map(|it| it.0.clone()).collect();
            rows.extend(missing.into_iter().map(|data_centre| Evacuation {
                data_centre,
                version: read_to,
                active: false,
            }));
        }
        self.read_to = self.read_to.max(read_to);
        let updates = rows.into_iter().map(|it| {
            let update = self.record(&it);
            (it, update)
        });
        updates.filter(|it| it.1 != EvacuationUpdate::Stale).collect()
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.rows.get(data_centre).is_some_and(|it| it.1)
    }

    /// Returns the evacuated data centres.
    pub fn active(&self) -> impl Iterator<Item = &DataCentre> {
        self.rows.iter().filter(|it| it.1.1).map(|it| it.0)
    }

    /// Returns all rows and removals, for daemons that don't read the store.
    pub fn rows(&self) -> impl Iterator<Item = Evacuation> {
        self.rows.iter().map(|(data_centre, (version, active))| Evacuation {
            data_centre: data_centre.clone(),
            version: *version,
            active: *active,
        })
    }

    fn record(&mut self, row: &Evacuation) -> EvacuationUpdate {
        let known = self.rows.get(&row.data_centre);
        if known.is_some_and(|it| it.0 >= row.version) {
            return EvacuationUpdate::Stale;
        }
        let before = known.is_some_and(|it| it.1);
        self.rows.insert(row.data_centre.clone(), (row.version, row.active));
        match (before, row.active) {
            (false, true) => EvacuationUpdate::Begun,
            (true, false) => EvacuationUpdate::Ended,
            (true, true) | (false, false) => EvacuationUpdate::Renewed,
        }
    }
}

impl Placement {
    /// Leaves out the backend servers of the given data centres from now on, and of no others.
    pub fn set_evacuated<'a>(&mut self, data_centres: impl Iterator<Item = &'a DataCentre>) {
        self.evacuated = data_centres.cloned().collect();
        for it in self.candidates.values_mut() {
            it.evacuated = self.evacuated.contains(&it.member.data_centre);
        }
    }
}
