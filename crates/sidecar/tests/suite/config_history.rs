//! Configurations on their way between daemons.

use std::{fmt::Write, sync::Arc};

use proptest::prelude::*;
use shallottack_sidecar::config_history::{ConfigHistory, DecompressError, StoredConfig};

/// Configuration of the form and size of a grown deployment with many routes.
fn document(row: u64, routes: usize, changed: usize) -> StoredConfig {
    let mut text = format!("{{\"version\":\"{row:08x}\",\"routes\":[");
    for route in 0..routes {
        let name = (route as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let timeout = if route == changed { 900 } else { 1_200 };
        write!(
            text,
            "{{\"name\":\"r-{name:x}\",\"host\":\"h{:x}.example\",\"prefix\":\"/p{:x}/\",\
             \"kind\":\"idempotent\",\"timeout\":\"{timeout}ms\",\"service\":\"desk\"}},",
            name >> 40,
            name >> 20,
        )
        .unwrap();
    }
    StoredConfig { row, bytes: Arc::from((text + "]}").into_bytes()) }
}

fn documents(all: &[StoredConfig]) -> ConfigHistory {
    let mut documents = ConfigHistory::default();
    all.iter().for_each(|it| documents.push(it.clone()));
    documents
}

/// Guards against whole configurations that fill links of 10 Mbit/s in a series of changes, so that
/// a change is in force too late. At such a link 2 KB take 2 ms.
#[test]
fn small_change_of_a_large_configuration_is_small() {
    let (old, new) = (document(7, 2_100, 0), document(9, 2_100, 1_500));
    let packed = documents(&[old.clone(), new.clone()]).compress_newest(7).unwrap().unwrap();
    assert_eq!((packed.row, packed.base), (9, Some(7)));
    assert!(packed.bytes.len() < 2_048, "{} of {} bytes", packed.bytes.len(), new.bytes.len());
    assert_eq!(documents(&[old]).decompress(&packed).unwrap(), new);
}

/// Guards against a daemon that starts, or has been cut off, and can use no difference.
#[test]
fn daemon_without_an_earlier_configuration_gets_it_whole() {
    let new = document(9, 50, 0);
    let mut holder = documents(&[document(7, 50, 1), new.clone()]);
    for held in [0, 3] {
        let packed = holder.compress_newest(held).unwrap().unwrap();
        assert_eq!(packed.base, None);
        assert_eq!(ConfigHistory::default().decompress(&packed).unwrap(), new);
    }
    assert_eq!(holder.compress_newest(9).unwrap(), None);
}

/// Guards against wrong bytes from a difference to a configuration that the receiver has not, and
/// against sizes that a broken message states.
#[test]
fn difference_to_another_configuration_is_no_configuration() {
    let all: Vec<StoredConfig> = (1..8).map(|row| document(row, 50, row as usize)).collect();
    let packed = documents(&all).compress_newest(6).unwrap().unwrap();
    let receiver = documents(&all[..3]);
    assert!(matches!(receiver.decompress(&packed), Err(DecompressError::MissingBase(6))));
    let other = StoredConfig { row: 6, ..document(6, 50, 49) };
    assert!(matches!(documents(&[other]).decompress(&packed), Err(DecompressError::Corrupt(_))));
    let huge = shallottack_sidecar::config_history::CompressedConfig { size: usize::MAX, ..packed };
    assert!(matches!(receiver.decompress(&huge), Err(DecompressError::TooLarge(_))));
}

proptest! {
    /// Guards against bytes that change on the way, whatever they are.
    #[test]
    fn any_bytes_arrive_unchanged(old in any::<Vec<u8>>(), new in any::<Vec<u8>>(), known: bool) {
        let (old, new) = (old.into(), new.into());
        let (old, new) = (StoredConfig { row: 1, bytes: old }, StoredConfig { row: 2, bytes: new });
        let packed = documents(&[old.clone(), new.clone()])
            .compress_newest(u64::from(known))
            .unwrap()
            .unwrap();
        prop_assert_eq!(documents(&[old]).decompress(&packed).unwrap(), new);
    }
}
