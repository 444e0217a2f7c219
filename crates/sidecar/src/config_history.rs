//! Configurations on their way between daemons: whole, or as the difference to an earlier one.
//!
//! Answers series of changes over slow links: each change touches few of many routes.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use zstd::bulk::{Compressor, Decompressor};

/// Earlier configurations that differences may refer to; a daemon is at most some changes behind
/// in a series of five a second.
const KEPT: usize = 4;
/// Largest configuration in bytes, well above the largest row of the store.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Level of the compression; lower ones do not look through a whole earlier configuration.
const LEVEL: i32 = 3;

/// A configuration as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfig {
    /// Version of its row.
    pub row: u64,
    /// Value of the row.
    pub bytes: Arc<[u8]>,
}

/// A compressed configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedConfig {
    /// Version of its row.
    pub row: u64,
    /// Row version of the configuration that it refers to; `None` when it is whole.
    pub base: Option<u64>,
    /// Size of the configuration in bytes.
    pub size: usize,
    /// Compressed bytes.
    pub bytes: Vec<u8>,
}

/// Why a configuration can't be unpacked.
#[derive(Debug, thiserror::Error)]
pub enum DecompressError {
    /// The configuration that it refers to is not kept any more.
    #[error("refers to row {0}, which is not kept")]
    MissingBase(u64),
    /// It states a size over the limit.
    #[error("{0} bytes are over the limit")]
    TooLarge(usize),
    /// The compressed bytes are broken.
    #[error("broken bytes: {0}")]
    Corrupt(#[from] std::io::Error),
}

/// The newest configurations.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// The newest one last.
    kept: VecDeque<StoredConfig>,
    /// What was packed of the newest one.
    packed: Vec<CompressedConfig>,
}

impl ConfigHistory {
    /// Takes a newer configuration.
    pub fn push(&mut self, document: StoredConfig) {
        self.kept.push_back(document);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        self.packed.clear();
    }

    /// Returns the newest configuration for a daemon that has the row version `held`, 0 for none,
    /// unless it has it already.
    ///
    /// # Errors
    ///
    /// Returns the compressor's error.
    pub fn compress_newest(&mut self, held: u64) -> std::io::Result<Option<CompressedConfig>> {
        let Some(newest) = self.kept.back().filter(|it| it.row > held) else { return Ok(None) };
        let base = self.kept.iter().find(|it| it.row == held);
        let base_row = base.map(|it| it.row);
        if let Some(packed) = self.packed.iter().find(|it| it.base == base_row) {
            return Ok(Some(packed.clone()));
        }
        let dictionary: &[u8] = base.map_or(&[], |it| &it.bytes);
        let mut compressor = Compressor::with_dictionary(LEVEL, dictionary)?;
        // A wrong dictionary would otherwise give wrong bytes without an error.
        compressor.include_checksum(true)?;
        let packed = CompressedConfig {
            row: newest.row,
            base: base_row,
            size: newest.bytes.len(),
            bytes: compressor.compress(&newest.bytes)?,
        };
        self.packed.push(packed.clone());
        Ok(Some(packed))
    }

    /// Returns the configuration that was packed.
    ///
    /// # Errors
    ///
    /// Returns [`DecompressError`] when it refers to one that is not kept, or is broken.
    pub fn decompress(&self, packed: &CompressedConfig) -> Result<StoredConfig, DecompressError> {
        if packed.size > MAX_BYTES {
            return Err(DecompressError::TooLarge(packed.size));
        }
        let dictionary: &[u8] = match packed.base {
            Some(row) => {
                let base = self.kept.iter().find(|it| it.row == row);
                &base.ok_or(DecompressError::MissingBase(row))?.bytes
            }
            None => &[],
        };
        let bytes =
            Decompressor::with_dictionary(dictionary)?.decompress(&packed.bytes, packed.size)?;
        Ok(StoredConfig { row: packed.row, bytes: bytes.into() })
    }
}
