//! Compression of configurations that are sent between daemons.

use std::{fmt::Write, sync::Arc};

use proptest::prelude::*;
use shallottack_sidecar::config_history::{ConfigHistory, DecompressError, StoredConfig};

/// Returns a configuration with the format and size of a large deployment.
///
/// The route at index `changed` has another timeout than the rest.
fn stored_config(version: u64, routes: usize, changed: usize) -> StoredConfig {
    let mut text = format!("{{\"version\":\"{version:08x}\",\"routes\":[");
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
    StoredConfig { version, bytes: Arc::from((text + "]}").into_bytes()) }
}

fn history(all: &[StoredConfig]) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    all.iter().for_each(|it| history.push(it.clone(), None));
    history
}

/// Guards against sending whole configurations in a series of changes. They fill a link of 10
/// Mbit/s, so that changes take effect too late; 2 KB take 2 ms on such a link.
#[test]
fn delta_of_small_change_is_small() {
    let (old, new) = (stored_config(7, 2_100, 0), stored_config(9, 2_100, 1_500));
    let compressed = history(&[old.clone(), new.clone()]).compress_newest(7).unwrap().unwrap();
    assert_eq!((compressed.version, compressed.base), (9, Some(7)));
    assert!(
        compressed.bytes.len() < 2_048,
        "{} of {} bytes",
        compressed.bytes.len(),
        new.bytes.len()
    );
    assert_eq!(history(&[old]).decompress(&compressed).unwrap(), new);
}

/// Guards against a delta for a daemon that has just started or was disconnected for long, and does
/// not have the base.
#[test]
fn config_is_whole_without_common_base() {
    let new = stored_config(9, 50, 0);
    let mut holder = history(&[stored_config(7, 50, 1), new.clone()]);
    for held in [0, 3] {
        let compressed = holder.compress_newest(held).unwrap().unwrap();
        assert_eq!(compressed.base, None);
        assert_eq!(ConfigHistory::default().decompress(&compressed).unwrap(), new);
    }
    assert_eq!(holder.compress_newest(9).unwrap(), None);
}

/// Guards against wrong bytes if the receiver lacks the base of a delta or has a different one, and
/// against the excessive size that a malformed message may state.
#[test]
fn delta_with_wrong_base_or_size_is_rejected() {
    let all: Vec<StoredConfig> = (1..8).map(|it| stored_config(it, 50, it as usize)).collect();
    let compressed = history(&all).compress_newest(6).unwrap().unwrap();
    let receiver = history(&all[..3]);
    assert!(matches!(receiver.decompress(&compressed), Err(DecompressError::MissingBase(6))));
    let other = StoredConfig { version: 6, ..stored_config(6, 50, 49) };
    assert!(matches!(history(&[other]).decompress(&compressed), Err(DecompressError::Corrupt(_))));
    let huge =
        shallottack_sidecar::config_history::CompressedConfig { size: usize::MAX, ..compressed };
    assert!(matches!(receiver.decompress(&huge), Err(DecompressError::TooLarge(_))));
}

proptest! {
    /// Guards against bytes that compression and decompression change.
    #[test]
    fn any_bytes_round_trip(old in any::<Vec<u8>>(), new in any::<Vec<u8>>(), known: bool) {
        let (old, new) = (old.into(), new.into());
        let (old, new) = (StoredConfig { version: 1, bytes: old }, StoredConfig { version: 2, bytes: new });
        let compressed = history(&[old.clone(), new.clone()])
            .compress_newest(u64::from(known))
            .unwrap()
            .unwrap();
        prop_assert_eq!(history(&[old]).decompress(&compressed).unwrap(), new);
    }
}

/// Guards against debug output that holds the keys of organisations.
#[test]
fn bytes_are_not_shown() {
    let stored = StoredConfig { version: 1, bytes: Arc::from(&b"key-7f"[..]) };
    let mut history = ConfigHistory::default();
    history.push(stored.clone(), None);
    let compressed = history.compress_newest(0).unwrap().unwrap();
    let text = format!("{stored:?} {compressed:?} {history:?}");
    for bytes in [&stored.bytes[..], &compressed.bytes] {
        let shown = format!("{bytes:?}");
        assert!(!text.contains(shown.trim_matches(['[', ']'])), "{text}");
    }
    assert!(text.contains("version: 1"));
}
