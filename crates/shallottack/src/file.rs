//! Reads configuration files and reports their errors with the lines concerned.

use miette::{Diagnostic, LabeledSpan, NamedSource};
use shallottack_config::{Catalog, FileError, FileProblem, parse_file};

use crate::output::Error;

/// Error for a configuration file with problems.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("configuration file {path} has {} problem(s)", .problems.len())]
pub(crate) struct InvalidFile {
    path: String,
    #[source_code]
    text: NamedSource<String>,
    problems: Vec<FileProblem>,
    #[label(collection)]
    labels: Vec<LabeledSpan>,
    #[help]
    help: Option<String>,
}

impl InvalidFile {
    fn new(path: &str, bytes: &[u8], error: FileError) -> InvalidFile {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let labels = error.problems.iter().filter(|it| it.line > 0).map(|it| label(&text, it));
        // Problems that concern the whole file have no line to label.
        let whole: Vec<_> =
            error.problems.iter().filter(|it| it.line == 0).map(FileProblem::to_string).collect();
        InvalidFile {
            path: path.to_owned(),
            labels: labels.collect(),
            text: NamedSource::new(path, text),
            help: (!whole.is_empty()).then(|| whole.join("\n")),
            problems: error.problems,
        }
    }

    /// Returns all problems on one line, for output without excerpts of the file.
    pub(crate) fn summary(&self) -> String {
        let problems: Vec<_> = self.problems.iter().map(FileProblem::to_string).collect();
        format!("{}: {}", self.path, problems.join("; "))
    }
}

fn label(text: &str, problem: &FileProblem) -> LabeledSpan {
    let before = text.split_inclusive('\n').take(problem.line as usize - 1).map(str::len).sum();
    let line = text[before..].lines().next().unwrap_or_default();
    let column = (problem.column as usize).saturating_sub(1);
    let within = line.char_indices().nth(column).map_or(line.len(), |(at, _)| at);
    let length = line[within..].split_whitespace().next().map_or(0, str::len);
    LabeledSpan::new(Some(problem.detail.clone()), before + within, length)
}

/// Reads and validates a configuration file.
pub(crate) fn read_configuration(path: &str) -> Result<Catalog, Error> {
    let bytes =
        std::fs::read(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    parse_file(&bytes)
        .map_err(|error| Error::Configuration(Box::new(InvalidFile::new(path, &bytes, error))))
}
