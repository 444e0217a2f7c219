//! Settings files in YAML: read whole, checked whole, with the place of an error.

use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

/// Settings that can be checked.
pub trait Check: DeserializeOwned {
    /// Returns every value that is out of range or contradicts another one.
    fn problems(&self) -> Vec<String>;
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {path} can't be read: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid YAML or has a wrong, missing or unknown key.
    #[error("settings are malformed: {detail}")]
    Parse {
        /// Text of the file.
        #[source_code]
        text: NamedSource<String>,
        /// Place of the error.
        #[label("here")]
        place: Option<SourceSpan>,
        /// What is wrong.
        detail: String,
    },
    /// Values are out of range or contradict each other.
    #[error("settings are invalid:{}", .problems.iter().map(|it| format!("\n  - {it}")).collect::<String>())]
    Invalid {
        /// Every problem found.
        problems: Vec<String>,
    },
}

/// Reads and checks the settings in the file at `path`.
///
/// # Errors
///
/// Returns [`SettingsError`] with the file's name and the place of the error.
pub fn load<T: Check>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&name, &text),
        Err(source) => Err(SettingsError::Read { path: name, source }),
    }
}

/// Parses and checks settings; `name` appears in errors.
///
/// # Errors
///
/// Returns [`SettingsError`] with the place of the error or with every problem found.
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

fn line_offset(text: &str, line: usize) -> usize {
    text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum()
}
