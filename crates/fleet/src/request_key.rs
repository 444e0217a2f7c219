//! Recognises a request that is sent again.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, DisplayFromStr, SerializeAs};
use shallottack_kernel::ServiceName;
use xxhash_rust::xxh3::Xxh3;

/// Hash of what stays the same when a request is sent again: the service of the caller, method,
/// host, path with query and body.
///
/// The request identifier and the deadline differ each time. All daemons compute the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

impl RequestKey {
    /// Computes the key of a request.
    ///
    /// `body` is given in pieces; how it is divided does not matter.
    pub fn new<'a>(
        caller: &ServiceName,
        method: &str,
        host: &str,
        target: &str,
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> RequestKey {
        let mut hasher = Xxh3::new();
        for part in [caller.as_str().as_bytes(), method.as_bytes(), host.as_bytes()] {
            update(&mut hasher, part);
        }
        update(&mut hasher, target.as_bytes());
        let length: usize = body.clone().map(<[u8]>::len).sum();
        hasher.update(&(length as u64).to_le_bytes());
        body.for_each(|it| hasher.update(it));
        RequestKey(hasher.digest())
    }
}

/// Adds a part with its length, so that the parts can't be shifted against each other.
fn update(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<RequestKey, ParseIntError> {
        u64::from_str_radix(text, 16).map(RequestKey)
    }
}

/// A hexadecimal text in logs and other readable formats, a number in messages.
impl Serialize for RequestKey {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        if ser.is_human_readable() {
            DisplayFromStr::serialize_as(self, ser)
        } else {
            ser.serialize_u64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for RequestKey {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<RequestKey, D::Error> {
        if de.is_human_readable() {
            DisplayFromStr::deserialize_as(de)
        } else {
            u64::deserialize(de).map(RequestKey)
        }
    }
}
