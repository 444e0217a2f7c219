//! Compression of configurations that are sent between daemons, whole or as a delta.
//!
//! A delta uses an earlier configuration as the compression dictionary. This keeps series of
//! changes small on slow links, since each change usually affects a few of many routes.

use std::{collections::VecDeque, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use zstd::bulk::{Compressor, Decompressor};

/// Number of configurations kept as delta bases. In a series of five changes a second, a daemon
/// falls at most a few changes behind.
const MAX_KEPT: usize = 4;
/// Largest configuration in bytes, well above the largest row of the store.
const MAX_CONFIG_BYTES: usize = 4 * 1024 * 1024;
/// Compression level of zstd; lower levels do not search a whole earlier configuration.
const COMPRESSION_LEVEL: i32 = 3;

/// An encoded configuration as stored by the platform.
#[derive(Clone, PartialEq, Eq)]
pub struct StoredConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Value of its row in the store.
    pub bytes: Arc<[u8]>,
}

/// Leaves out the bytes, which hold the keys of organisations.
impl fmt::Debug for StoredConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoredConfig").field("version", &self.version).finish_non_exhaustive()
    }
}

/// A compressed configuration, whole or as a delta.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Version of the configuration that the delta is based on; `None` if it is whole.
    pub base: Option<u64>,
    /// Size of the uncompressed configuration in bytes.
    pub size: usize,
    /// Compressed bytes.
    pub bytes: Vec<u8>,
}

/// Leaves out the bytes, which hold the keys of organisations.
impl fmt::Debug for CompressedConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CompressedConfig")
            .field("version", &self.version)
            .field("base", &self.base)
            .field("size", &self.size)
            .finish_non_exhaustive()
    }
}

/// Errors of [`ConfigHistory::decompress`].
#[derive(Debug, thiserror::Error)]
pub enum DecompressError {
    /// The delta is based on a configuration that is not in the history.
    #[error("delta base, version {0}, is not in the history")]
    MissingBase(u64),
    /// The stated size in bytes exceeds the limit.
    #[error("stated size of {0} bytes exceeds the limit")]
    TooLarge(usize),
    /// The compressed bytes are corrupt.
    #[error("corrupt bytes: {0}")]
    Corrupt(#[from] std::io::Error),
}

/// The most recent configurations, used as bases of deltas.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// Configurations, oldest first.
    kept: VecDeque<StoredConfig>,
    /// Compressed forms of the newest configuration, one for each base.
    compressed: Vec<CompressedConfig>,
}

impl ConfigHistory {
    /// Adds a newer configuration and drops the oldest one beyond the limit.
    ///
    /// `received` is the compressed form in which it came from another daemon, which is passed on as
    /// it is.
    pub fn push(&mut self, config: StoredConfig, received: Option<CompressedConfig>) {
        self.kept.push_back(config);
        if self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
        }
        self.compressed.clear();
        self.compressed.extend(received);
    }

    /// Compresses the newest configuration for a daemon that holds version `held`, 0 for none.
    ///
    /// Returns `None` if there is no configuration newer than `held`.
    ///
    /// # Errors
    ///
    /// Returns the error of the compressor.
    pub fn compress_newest(&mut self, held: u64) -> std::io::Result<Option<CompressedConfig>> {
        let Some(newest) = self.kept.back().filter(|it| it.version > held) else { return Ok(None) };
        let base = self.kept.iter().find(|it| it.version == held);
        let base_version = base.map(|it| it.version);
        if let Some(compressed) = self.compressed.iter().find(|it| it.base == base_version) {
            return Ok(Some(compressed.clone()));
        }
        let dictionary: &[u8] = base.map_or(&[], |it| &it.bytes);
        let mut compressor = Compressor::with_dictionary(COMPRESSION_LEVEL, dictionary)?;
        // Without a checksum, a wrong dictionary would produce wrong bytes without an error.
        compressor.include_checksum(true)?;
        let compressed = CompressedConfig {
            version: newest.version,
            base: base_version,
            size: newest.bytes.len(),
            bytes: compressor.compress(&newest.bytes)?,
        };
        self.compressed.push(compressed.clone());
        Ok(Some(compressed))
    }

    /// Decompresses a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DecompressError`] if the base is missing, the size exceeds the limit or the bytes
    /// are corrupt.
    pub fn decompress(
        &self,
        compressed: &CompressedConfig,
    ) -> Result<StoredConfig, DecompressError> {
        if compressed.size > MAX_CONFIG_BYTES {
            return Err(DecompressError::TooLarge(compressed.size));
        }
        let dictionary: &[u8] = match compressed.base {
            Some(version) => {
                let base = self.kept.iter().find(|it| it.version == version);
                &base.ok_or(DecompressError::MissingBase(version))?.bytes
            }
            None => &[],
        };
        let bytes = Decompressor::with_dictionary(dictionary)?
            .decompress(&compressed.bytes, compressed.size)?;
        Ok(StoredConfig { version: compressed.version, bytes: bytes.into() })
    }
}
