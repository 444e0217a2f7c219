//! Validated identifiers, stored as shared immutable strings.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize};

/// Maximum length of a name in bytes; names are used in metric labels and table keys.
pub const MAX_NAME_BYTES: usize = 63;

/// Error for a name that is empty, longer than [`MAX_NAME_BYTES`] or has a character outside
/// `a-z`, `0-9`, `-`, `_` and `.`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a name: 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, `-`, `_` and `.`")]
pub struct BadName(pub String);

fn validate(text: &str) -> Result<(), BadName> {
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
        return Err(BadName(text.to_owned()));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            ///
            /// Returns [`BadName`] if `text` is empty, too long or contains a character that is
            /// not allowed in names.
            pub fn new(text: &str) -> Result<Self, BadName> {
                validate(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = BadName;

            fn try_from(text: &str) -> Result<Self, BadName> {
                Self::new(text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = BadName;

            fn from_str(text: &str) -> Result<Self, BadName> {
                Self::new(text)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(de)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    };
}

name_type! {
    /// Name of a service.
    ServiceName
}
name_type! {
    /// Name of a request class.
    ClassName
}
name_type! {
    /// Name of a route.
    RouteName
}
name_type! {
    /// Name of a version of a service, such as `v2`.
    GroupName
}
name_type! {
    /// Name of a data centre.
    DataCentre
}
name_type! {
    /// Name of an endpoint: a backend server and its local daemon.
    EndpointId
}
