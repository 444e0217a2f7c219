//! The pages of the repository.

use std::{
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    for folder in ["docs", "guide/src"] {
        let entries = fs::read_dir(root().join(folder)).unwrap();
        pages.extend(entries.map(|it| it.unwrap().path()));
    }
    pages.retain(|it| it.extension().is_some_and(|it| it == "md"));
    pages
}

/// Returns the targets of the links in a page.
fn links(text: &str) -> impl Iterator<Item = &str> {
    text.split("](").skip(1).filter_map(|rest| rest.split([')', '#']).next())
}

/// Guards against a link to a page that was renamed or never written.
#[test]
fn every_relative_link_has_its_target() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in links(&text).filter(|it| !it.is_empty() && !it.contains("://")) {
            let target = page.parent().unwrap().join(link);
            if !target.exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a page of the guide that the summary leaves out, so that no reader finds it.
#[test]
fn the_summary_lists_every_page_of_the_guide() {
    let summary = fs::read_to_string(root().join("guide/src/SUMMARY.md")).unwrap();
    let listed: Vec<_> = links(&summary).collect();
    for entry in fs::read_dir(root().join("guide/src")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        assert!(name == "SUMMARY.md" || listed.contains(&name.as_str()), "{name} is not listed");
    }
}

/// Guards against a sample configuration that no longer fits the format.
#[test]
fn every_sample_configuration_is_valid() {
    for file in
        ["garden-book.yaml", "tunis/mesh.yaml", "peninsula/mesh.yaml", "bench/pair-mesh.yaml"]
    {
        let bytes = fs::read(root().join("examples").join(file)).unwrap();
        shallottack_config::parse_file(&bytes).unwrap_or_else(|error| panic!("{file}: {error}"));
    }
    let local = fs::read_to_string(root().join("examples/local.yaml")).unwrap();
    shallottackd::Settings::parse("local.yaml", &local).unwrap();
}
