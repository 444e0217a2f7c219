//! YAML configuration files, which hold the whole configuration.

use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_saphyr::{Error, Location, MessageFormatter, Spanned, UserMessageFormatter};
use shallottack_kernel::BadName;
use smallvec::SmallVec;

use crate::{
    Catalog, Change, Class, LatencyTarget, Resource, ResourceKey, Route, Service, WriteId,
    difference, validate,
};

/// Problem found in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileProblem {
    /// Line, counted from 1; 0 when the problem concerns the whole file.
    pub line: u64,
    /// Column in characters, counted from 1; 0 when the problem concerns the whole file.
    pub column: u64,
    /// What is wrong and what was expected.
    pub detail: String,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}, column {}: ", self.line, self.column)?;
        }
        f.write_str(&self.detail)
    }
}

/// Every problem found in a configuration file, ordered by position.
///
/// A file with structural errors (syntax, unknown keys, missing values) is reported with the first
/// of them only. The contents are checked once the structure is valid, and all their problems are
/// reported together.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .problems.iter().map(FileProblem::to_string).collect::<Vec<_>>().join("\n"))]
pub struct FileError {
    /// The problems, never empty.
    pub problems: Vec<FileProblem>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    classes: Vec<Spanned<FileClass>>,
    #[serde(default)]
    services: Vec<Spanned<FileService>>,
    #[serde(default)]
    routes: Vec<Spanned<FileRoute>>,
}

// Names are deserialised as strings, so that all invalid names of a file are reported together.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileClass {
    name: Spanned<String>,
    latency: LatencyTarget,
    failures: f64,
    deadline_ms: u64,
    #[serde(default)]
    idempotent: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileService {
    name: Spanned<String>,
    group: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileRoute {
    name: Spanned<String>,
    prefix: String,
    #[serde(default)]
    methods: SmallVec<[String; 4]>,
    class: Spanned<String>,
    service: Spanned<String>,
}

/// Returns the catalog that a configuration file describes, with version zero.
///
/// # Errors
///
/// Returns a [`FileError`] with the problems found.
pub fn parse_file(bytes: &[u8]) -> Result<Catalog, FileError> {
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
        let line = valid.matches('\n').count() as u64 + 1;
        let column = valid.rsplit('\n').next().map_or(0, |it| it.chars().count()) as u64 + 1;
        single_problem(line, column, "not UTF-8 text".to_owned())
    })?;
    let file: File = serde_saphyr::from_str(text).map_err(|error| structure_error(&error))?;
    CatalogBuilder::default().build(file)
}

fn single_problem(line: u64, column: u64, detail: String) -> FileError {
    FileError { problems: vec![FileProblem { line, column, detail }] }
}

fn structure_error(error: &Error) -> FileError {
    let (line, column) = error.location().map_or((0, 0), |it| (it.line(), it.column()));
    let message = match error.without_snippet() {
        Error::InvalidScalar { ty: "u64", .. } => "expected a whole number from 0".into(),
        Error::InvalidScalar { ty: "f64", .. } => "expected a number".into(),
        other => UserMessageFormatter.format_message(other),
    };
    single_problem(line, column, message.escape_debug().to_string())
}

#[derive(Default)]
struct CatalogBuilder {
    catalog: Catalog,
    locations: BTreeMap<ResourceKey, Location>,
    problems: Vec<FileProblem>,
}

impl CatalogBuilder {
    fn build(mut self, file: File) -> Result<Catalog, FileError> {
        for class in file.classes {
            let location = class.value.name.referenced;
            if let Some(class) = self.class(class.value) {
                self.add(Resource::Class(class), location);
            }
        }
        for service in file.services {
            let location = service.value.name.referenced;
            if let Some(service) = self.service(&service.value) {
                self.add(Resource::Service(service), location);
            }
        }
        for route in file.routes {
            let location = route.value.name.referenced;
            if let Some(route) = self.route(route.value) {
                self.add(Resource::Route(route), location);
            }
        }
        self.check();
        if self.problems.is_empty() {
            return Ok(self.catalog);
        }
        self.problems.sort_by_key(|it| (it.line, it.column));
        Err(FileError { problems: self.problems })
    }

    fn class(&mut self, class: FileClass) -> Option<Class> {
        Some(Class {
            name: self.name(&class.name)?,
            latency: class.latency,
            failures: class.failures,
            deadline: Duration::from_millis(class.deadline_ms),
            idempotent: class.idempotent,
        })
    }

    fn service(&mut self, service: &FileService) -> Option<Service> {
        let name = self.name(&service.name);
        let group = self.name(&service.group);
        Some(Service { name: name?, group: group? })
    }

    fn route(&mut self, route: FileRoute) -> Option<Route> {
        let name = self.name(&route.name);
        let class = self.name(&route.class);
        let service = self.name(&route.service);
        Some(Route {
            name: name?,
            prefix: route.prefix,
            methods: route.methods,
            class: class?,
            service: service?,
        })
    }

    fn name<N: for<'a> TryFrom<&'a str, Error = BadName>>(
        &mut self,
        text: &Spanned<String>,
    ) -> Option<N> {
        match N::try_from(&text.value) {
            Ok(name) => Some(name),
            Err(error) => {
                self.report(Some(text.referenced), error.to_string());
                None
            }
        }
    }

    fn add(&mut self, resource: Resource, location: Location) {
        let key = resource.key();
        if self.catalog.contains(&key) {
            let line = self.locations.get(&key).map_or(0, Location::line);
            self.report(Some(location), format!("{key} is already defined in line {line}"));
            return;
        }
        self.catalog.insert(resource);
        self.locations.insert(key, location);
    }

    /// Validates the catalog as a whole. References to a resource with an invalid definition are
    /// reported as well, because that resource is missing from the catalog.
    fn check(&mut self) {
        let Err(rejection) = validate(&self.catalog) else { return };
        for problem in rejection.problems {
            let location =
                problem.resource.as_ref().and_then(|key| self.locations.get(key)).copied();
            self.report(location, problem.to_string());
        }
    }

    fn report(&mut self, location: Option<Location>, detail: String) {
        let (line, column) = location.map_or((0, 0), |it| (it.line(), it.column()));
        self.problems.push(FileProblem { line, column, detail });
    }
}

#[derive(Serialize)]
struct Printed<'a> {
    classes: Vec<&'a Arc<Class>>,
    services: Vec<&'a Arc<Service>>,
    routes: Vec<&'a Arc<Route>>,
}

/// Returns the configuration file that describes `catalog`, without its version.
///
/// # Panics
///
/// Panics when a resource cannot be represented as YAML; all resources can.
pub fn print_file(catalog: &Catalog) -> String {
    let printed = Printed {
        classes: catalog.classes.values().collect(),
        services: catalog.services.values().collect(),
        routes: catalog.routes.values().collect(),
    };
    serde_saphyr::to_string(&printed).expect("resources are maps of text and numbers")
}

impl Change {
    /// Returns the change from the resources of `held` to those of `wanted`, based on the version
    /// of `held`.
    pub fn between(held: &Catalog, wanted: &Catalog, id: WriteId) -> Change {
        let difference = difference(held, wanted);
        Change { id, base: held.version, upserts: difference.upserts, removes: difference.removes }
    }
}
