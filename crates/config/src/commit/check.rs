//! Checks of a submitted change against limits, concurrent changes and the resulting catalog.

use shallottack_kernel::{ErrorKind, Failure};

use super::{ChangeRow, RETAINED_CHANGES, Settings, encode};
use crate::{
    ApplyError, Catalog, Change, Delta, Kind, MAX_CHANGE_BYTES, Problem, Rejection, Resource,
    ResourceKey, Version, WriteId,
};

/// Maximum length of a write id in bytes; the id is part of a row key and of an object name.
pub const MAX_ID_BYTES: usize = 64;

/// Checks a change as far as possible without reading the table.
pub(super) fn check_request(change: &Change) -> Result<(), Failure> {
    if !is_valid_id(&change.id) {
        let detail = format!(
            "write id must have 1 to {MAX_ID_BYTES} characters of A-Z, a-z, 0-9, `-` and `_`"
        );
        return Err(Failure::new(ErrorKind::BadRequest, detail));
    }
    let size = encode(change).len();
    if size > MAX_CHANGE_BYTES {
        let detail = format!("change has {size} bytes, at most {MAX_CHANGE_BYTES} allowed");
        return Err(Failure::new(ErrorKind::TooLarge, detail));
    }
    let listed = change.upserts.len() + change.removes.len();
    if listed == 0 {
        return Err(Failure::new(ErrorKind::BadRequest, "change has no resources"));
    }
    if change.touched().len() != listed {
        let detail = format!("change names {} more than once", repeated_keys(change));
        return Err(Failure::new(ErrorKind::Rejected, detail));
    }
    Ok(())
}

fn is_valid_id(id: &WriteId) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    !id.0.is_empty() && id.0.len() <= MAX_ID_BYTES && id.0.bytes().all(allowed)
}

fn repeated_keys(change: &Change) -> String {
    let mut keys: Vec<_> =
        change.upserts.iter().map(Resource::key).chain(change.removes.iter().cloned()).collect();
    keys.sort();
    let mut names: Vec<_> =
        keys.windows(2).filter(|it| it[0] == it[1]).map(|it| format!("`{}`", it[0])).collect();
    names.dedup();
    names.join(", ")
}

/// Checks that the changes since `base` are retained and belong to the same history.
pub(super) fn check_base(settings: &Settings, base: Version, head: Version) -> Result<(), Failure> {
    let behind = head.seq.saturating_sub(base.seq);
    if base.epoch != head.epoch || behind > RETAINED_CHANGES {
        // The write row of an earlier request with this id may already have been removed.
        let detail = format!(
            "base version {base} is not in the recorded history of version {head}; compare the \
             configuration and submit again with a new id"
        );
        return Err(Failure::new(ErrorKind::OutcomeUnknown, detail));
    }
    if base > head {
        let detail = format!("base version {base} is newer than version {head} of the table");
        return Err(Failure::new(ErrorKind::Conflict, detail));
    }
    if behind > settings.max_behind {
        let detail = format!(
            "base version {base} is {behind} versions behind {head}, at most {} allowed; fetch \
             the configuration again",
            settings.max_behind
        );
        return Err(Failure::new(ErrorKind::Conflict, detail));
    }
    Ok(())
}

/// Returns whether `rows` cover every version after `from` up to and including `to`.
pub(super) fn is_gapless(rows: &[ChangeRow], from: Version, to: Version) -> bool {
    let mut expected = from;
    for row in rows {
        expected = expected.next();
        if row.version != expected {
            return false;
        }
    }
    expected == to
}

/// Returns the conflict with the first of `rows` that touches a key of `change`.
pub(super) fn find_overlap(change: &Change, rows: &[ChangeRow]) -> Option<Failure> {
    let touched = change.touched();
    rows.iter().find_map(|row| {
        let key = row.touched.iter().find(|key| touched.contains(key))?;
        let detail = format!("`{key}` was changed by {}", describe(row));
        Some(Failure::new(ErrorKind::Conflict, detail))
    })
}

/// Applies `delta` to `catalog` and validates the result.
///
/// Fails with a conflict when one of the changes in `concurrent` explains a problem, and with a
/// rejection otherwise.
pub(super) fn check_result(
    catalog: &Catalog,
    delta: &Delta,
    concurrent: &[ChangeRow],
) -> Result<Catalog, Failure> {
    let mut problems = missing_removes(catalog, delta);
    match catalog.apply(delta) {
        Ok(result) if problems.is_empty() => return Ok(result),
        Ok(_) => {}
        Err(ApplyError::Rejected(rejection)) => problems.extend(rejection.problems),
        Err(gap) => return Err(Failure::new(ErrorKind::Internal, gap.to_string())),
    }
    let cause = problems.iter().find_map(|problem| {
        let keys = related_keys(catalog, delta, problem);
        concurrent.iter().find(|row| row.touched.iter().any(|key| keys.contains(key)))
    });
    let rejection = Rejection { problems };
    Err(match cause {
        Some(row) => {
            let detail = format!("conflict with {}: {rejection}", describe(row));
            Failure::new(ErrorKind::Conflict, detail)
        }
        None => Failure::new(ErrorKind::Rejected, rejection.to_string()),
    })
}

fn missing_removes(catalog: &Catalog, delta: &Delta) -> Vec<Problem> {
    let missing = delta.removes.iter().filter(|key| !catalog.contains(key));
    missing
        .map(|key| Problem {
            resource: Some(key.clone()),
            detail: "does not exist and cannot be removed".to_owned(),
        })
        .collect()
}

/// Returns the keys that a problem concerns: its resource and the resources it refers to.
fn related_keys(catalog: &Catalog, delta: &Delta, problem: &Problem) -> Vec<ResourceKey> {
    let Some(key) = &problem.resource else { return Vec::new() };
    let mut keys = vec![key.clone()];
    if key.kind == Kind::Route {
        let submitted = delta.upserts.iter().find_map(|it| match it {
            Resource::Route(route) if route.name.as_str() == &*key.name => Some(route),
            _ => None,
        });
        let route = submitted.or_else(|| catalog.routes.get(&*key.name).map(AsRef::as_ref));
        if let Some(route) = route {
            keys.push(ResourceKey::new(Kind::Class, route.class.as_str()));
            keys.push(ResourceKey::new(Kind::Service, route.service.as_str()));
        }
    }
    keys
}

fn describe(row: &ChangeRow) -> String {
    format!("change `{}` of operator `{}` in version {}", row.id, row.operator, row.version)
}
