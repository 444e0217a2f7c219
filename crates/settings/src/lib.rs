//! Loads and validates settings files in YAML.
//!
//! Syntax errors are reported with their position in the file, and all invalid values at once.

use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

/// Settings that can be validated.
pub trait Check: DeserializeOwned {
    /// Returns a message for each value that is out of range or contradicts another one.
    fn problems(&self) -> Vec<String>;
}

/// Error that prevents settings from being used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {path} can't be read: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// I/O error returned by the operating system.
        source: std::io::Error,
    },
    /// The file is not valid YAML or has a wrong, missing or unknown key.
    #[error("settings are malformed: {detail}")]
    Parse {
        /// Content of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Position of the error in the file, if known.
        #[label("here")]
        place: Option<SourceSpan>,
        /// Description of the error.
        detail: String,
    },
    /// Values are out of range or contradict each other.
    #[error("settings are invalid:{}", .problems.iter().map(|it| format!("\n  - {it}")).collect::<String>())]
    Invalid {
        /// A message for each problem found.
        problems: Vec<String>,
    },
}

/// Reads, parses and validates the settings file at `path`.
///
/// # Errors
///
/// Returns [`SettingsError`] if the file can't be read or its content is malformed or invalid.
pub fn load<T: Check>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&name, &text),
        Err(source) => Err(SettingsError::Read { path: name, source }),
    }
}

/// Parses and validates settings; `name` is the file name shown in errors.
///
/// # Errors
///
/// Returns [`SettingsError`] with the position of a syntax error or with every invalid value.
pub fn parse<T: Check>(name: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = serde_saphyr::from_str(text).map_err(|error| {
        let place = error.location().map(|at| {
            let offset = line_offset(text, at.line() as usize) + at.column() as usize - 1;
            SourceSpan::from(offset.min(text.len()))
        });
        SettingsError::Parse {
            text: NamedSource::new(name, text.to_owned()),
            place,
            detail: error.without_snippet().to_string(),
        }
    })?;
    let problems = settings.problems();
    if problems.is_empty() { Ok(settings) } else { Err(SettingsError::Invalid { problems }) }
}

/// Returns the byte offset of the start of `line`, which counts from 1.
fn line_offset(text: &str, line: usize) -> usize {
    text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum()
}
