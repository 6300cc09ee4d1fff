//! Guards against changes of names that are part of an external interface: fields and values of
//! messages, keys of the store, settings, flags and others. Such a name changes when an
//! identifier that is serialized under its own name is renamed. Other programs, older versions
//! and operators' files depend on these names.
//!
//! `docs/external-names.txt` lists the names, one per line. A line consists of the kind, the name
//! and the path of the file that contains it, separated by tabs.

#![expect(clippy::expect_used, reason = "helpers of tests fail by panicking")]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const LIST: &str = include_str!("../docs/external-names.txt");

/// One line of the list.
struct ExternalName {
    kind: &'static str,
    name: &'static str,
    file: &'static str,
}

fn external_names() -> Vec<ExternalName> {
    LIST.lines()
        .map(|line| match *line.split('\t').collect::<Vec<_>>() {
            [kind, name, file] if !name.is_empty() => ExternalName { kind, name, file },
            _ => panic!("expected a line `kind<TAB>name<TAB>file`, got {line:?}"),
        })
        .collect()
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the text of a file without its comment lines.
fn code_of(path: &Path) -> String {
    let text = std::fs::read_to_string(path)
        .unwrap_or_else(|error| panic!("can't read {}: {error}", path.display()));
    let is_rust = path.extension().is_some_and(|extension| extension == "rs");
    let comment = if is_rust { "//" } else { "#" };
    text.lines()
        .filter(|line| !line.trim_start().starts_with(comment))
        .collect::<Vec<_>>()
        .join("\n")
}

fn is_word(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Returns the byte offsets at which `name` occurs in `code` as a whole word.
fn occurrences<'a>(code: &'a str, name: &'a str) -> impl Iterator<Item = usize> + 'a {
    code.match_indices(name)
        .map(|(offset, _)| offset)
        .filter(move |&offset| {
            let before = code[..offset].chars().next_back();
            let after = code[offset + name.len()..].chars().next();
            let is_word_start = !name.starts_with(is_word) || !before.is_some_and(is_word);
            let is_word_end = !name.ends_with(is_word) || !after.is_some_and(is_word);
            is_word_start && is_word_end
        })
}

/// Returns whether `name` occurs in a string literal, which a rename of identifiers does not
/// change.
fn occurs_in_literal(code: &str, name: &str) -> bool {
    code.lines()
        .flat_map(|line| line.split('"').skip(1).step_by(2))
        .any(|literal| occurrences(literal, name).next().is_some())
}

/// Returns the identifiers, of a field and of an enum variant, that serde can write as `name`
/// without a `rename` attribute for that field or variant.
fn identifiers(name: &str) -> [String; 2] {
    let snake = name.replace('-', "_");
    let camel = snake
        .split('_')
        .map(|word| {
            let (first, rest) = word.split_at(word.len().min(1));
            first.to_uppercase() + rest
        })
        .collect();
    [snake, camel]
}

/// Returns whether `name` occurs where a field or an enum variant is declared, or as an identifier
/// of a library such as a constant for an HTTP header.
fn occurs_as_identifier(code: &str, name: &str) -> bool {
    identifiers(name).iter().any(|identifier| {
        occurrences(code, identifier).any(|offset| {
            let rest = code[offset + identifier.len()..].trim_start();
            rest.starts_with([':', ',', '{', '=', ')', '}'])
        })
    })
}

/// Returns whether the code of a file contains `name` as an external name.
fn contains_external_name(code: &str, name: &str, is_rust: bool) -> bool {
    if !is_rust {
        return occurrences(code, name).next().is_some();
    }
    if occurs_in_literal(code, name) {
        return true;
    }
    // Names of one or two letters occur in most files as identifiers of other things.
    const MAX_SHORT_NAME: usize = 2;
    if name.len() <= MAX_SHORT_NAME {
        is_declared_field(code, name)
    } else {
        occurs_as_identifier(code, name)
    }
}

/// Returns whether a line begins with the declaration of a field of this name.
fn is_declared_field(code: &str, name: &str) -> bool {
    let identifiers = identifiers(name);
    code.lines().map(str::trim).any(|line| {
        let line = line.strip_prefix("pub ").unwrap_or(line);
        identifiers.iter().any(|field| {
            line.strip_prefix(field.as_str())
                .is_some_and(|rest| rest.starts_with([':', ',']))
        })
    })
}

#[test]
fn every_listed_name_occurs_in_its_file() {
    let mut code_by_file = BTreeMap::new();
    let mut missing = Vec::new();
    for listed in external_names() {
        let path = root().join(listed.file);
        let code = code_by_file
            .entry(listed.file)
            .or_insert_with(|| code_of(&path));
        if !contains_external_name(code, listed.name, listed.file.ends_with(".rs")) {
            missing.push(format!(
                "{} {} in {}",
                listed.kind, listed.name, listed.file
            ));
        }
    }
    assert!(
        missing.is_empty(),
        "listed names that their files no longer contain: {missing:#?}"
    );
}

/// Returns the source files of all packages except test files.
fn source_files() -> Vec<PathBuf> {
    let mut folders = vec![root().join("src"), root().join("crates")];
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("a folder of sources") {
            let path = entry.expect("an entry of a folder").path();
            let name = path
                .file_name()
                .and_then(|name| name.to_str())
                .unwrap_or("");
            if path.is_dir() && name != "tests" {
                folders.push(path);
            } else if name.ends_with(".rs") && name != "tests.rs" {
                files.push(path);
            }
        }
    }
    files
}

/// Returns the names in the `rename` attributes of a file.
fn renamed(code: &str) -> BTreeSet<&str> {
    let attributes = code.split("rename = \"").skip(1);
    attributes
        .filter_map(|rest| rest.split('"').next())
        .collect()
}

#[test]
fn every_name_in_a_serde_attribute_is_listed() {
    let listed: BTreeSet<(&str, &str)> = external_names()
        .iter()
        .map(|listed| (listed.file, listed.name))
        .collect();
    let mut unlisted = Vec::new();
    let mut found = 0;
    for path in source_files() {
        let file = path.strip_prefix(root()).expect("a path below the root");
        let file = file.to_str().expect("a path in UTF-8").to_owned();
        let code = code_of(&path);
        for name in renamed(&code) {
            found += 1;
            if !listed.contains(&(file.as_str(), name)) {
                unlisted.push(format!("{name} in {file}"));
            }
        }
    }
    assert!(
        found > 0,
        "no serde attribute was found; check the paths of the sources"
    );
    assert!(
        unlisted.is_empty(),
        "not in docs/external-names.txt: {unlisted:#?}"
    );
}

#[test]
fn list_is_sorted_without_duplicates() {
    let lines: Vec<&str> = LIST.lines().collect();
    let mut sorted = lines.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(lines, sorted);
}
