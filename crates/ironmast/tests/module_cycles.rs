//! Checks that the modules of each crate have no dependency cycles, so that they can be read from the
//! lowest layer up.
//!
//! The dependencies are those of `use crate::…` and `use super::…`. A module and its submodules are
//! one unit, so that edges between them do not count.

mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

use sources::{crate_folders, rust_files};

type Module = Vec<String>;

/// Code that only tests use.
const TEST_CODE: [&str; 5] = [
    "tests",
    "tests.rs",
    "testing",
    "testing.rs",
    "test_support.rs",
];

fn module_of(root: &Path, file: &Path) -> Module {
    let path = file.strip_prefix(root).expect("below the root");
    let mut module: Module = path
        .with_extension("")
        .iter()
        .map(|part| part.to_string_lossy().into_owned())
        .collect();
    if matches!(module.last().map(String::as_str), Some("lib" | "main")) {
        module.pop();
    }
    module
}

/// The paths of a `use` tree, each below `prefix`.
fn expand(prefix: &[String], tree: &str, paths: &mut Vec<Module>) {
    let tree = tree.trim();
    let Some((head, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap_or_default();
        let parts = path.split("::").map(|part| part.trim().to_string());
        paths.push(prefix.iter().cloned().chain(parts).collect());
        return;
    };
    let mut prefix = prefix.to_vec();
    prefix.extend(
        head.split("::")
            .map(|part| part.trim().to_string())
            .filter(|part| !part.is_empty()),
    );
    let mut depth = 0;
    let mut item = String::new();
    for character in rest.trim_end().trim_end_matches('}').chars() {
        match character {
            ',' if depth == 0 => expand(&prefix, &std::mem::take(&mut item), paths),
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if character != ',' || depth > 0 {
            item.push(character);
        }
    }
    if !item.trim().is_empty() {
        expand(&prefix, &item, paths);
    }
}

/// The paths that a file uses from its own crate, as written.
fn used_paths(source: &str) -> Vec<Module> {
    let mut paths = Vec::new();
    let code: Vec<&str> = source
        .lines()
        .map(|line| line.split("//").next().unwrap_or_default())
        .collect();
    for statement in code.join("\n").split(';') {
        let Some((before, tree)) = statement.rsplit_once("use ") else {
            continue;
        };
        let begins_line = before.rsplit('\n').next().unwrap_or_default().trim();
        let is_use = begins_line.is_empty() || begins_line.starts_with("pub");
        if is_use && (tree.starts_with("crate::") || tree.starts_with("super::")) {
            expand(&[], tree, &mut paths);
        }
    }
    paths
}

/// The module of `path` as used in `module`: its longest prefix that is one.
fn target(module: &Module, path: &[String], modules: &BTreeSet<Module>) -> Option<Module> {
    let supers = path.iter().take_while(|part| *part == "super").count();
    let (base, rest) = if supers > 0 {
        let base = module.len().checked_sub(supers)?;
        (module[..base].to_vec(), &path[supers..])
    } else {
        (Vec::new(), &path[1..])
    };
    let full: Module = base.into_iter().chain(rest.iter().cloned()).collect();
    (1..=full.len())
        .rev()
        .map(|length| full[..length].to_vec())
        .find(|candidate| modules.contains(candidate))
}

fn dependencies(root: &Path) -> BTreeMap<Module, BTreeSet<Module>> {
    let files = rust_files(root, &TEST_CODE);
    let modules: BTreeSet<Module> = files.iter().map(|file| module_of(root, file)).collect();
    let mut graph = BTreeMap::new();
    for file in &files {
        let module = module_of(root, file);
        let source = fs::read_to_string(file).expect("a source file");
        let uses = used_paths(&source)
            .iter()
            .filter_map(|path| target(&module, path, &modules))
            .filter(|used| !used.starts_with(&module) && !module.starts_with(used))
            .collect();
        graph.insert(module, uses);
    }
    graph
}

/// All modules that `from` depends on, directly or not.
fn reachable(graph: &BTreeMap<Module, BTreeSet<Module>>, from: &Module) -> BTreeSet<Module> {
    let mut found = BTreeSet::new();
    let mut next: Vec<&Module> = graph[from].iter().collect();
    while let Some(module) = next.pop() {
        if found.insert(module.clone()) {
            next.extend(&graph[module]);
        }
    }
    found
}

fn modules_in_cycles(root: &Path) -> Vec<String> {
    let graph = dependencies(root);
    let is_in_cycle = |module: &&Module| reachable(&graph, module).contains(*module);
    graph
        .keys()
        .filter(is_in_cycle)
        .map(|module| module.join("::"))
        .collect()
}

#[test]
fn no_files_of_a_crate_depend_on_each_other_in_a_circle() {
    for folder in crate_folders() {
        let root = folder.join("src");
        let cycles = modules_in_cycles(&root);
        assert!(
            cycles.is_empty(),
            "{}: modules in a dependency cycle: {cycles:?}",
            root.display()
        );
    }
}

#[test]
fn a_circle_over_three_files_is_found() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = [
        ("lib.rs", "mod a;\nmod b;\nmod c;\n"),
        ("a.rs", "use crate::b::{B, other::{C, D}};\n"),
        ("b.rs", "use super::c::C;\n"),
        ("c.rs", "pub(crate) use crate::a::A as Renamed;\n"),
        ("d.rs", "use crate::a::A;\n"),
    ];
    for (name, source) in files {
        fs::write(folder.path().join(name), source).expect("written");
    }
    assert_eq!(modules_in_cycles(folder.path()), ["a", "b", "c"]);
}
