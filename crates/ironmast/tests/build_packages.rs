//! Checks `packages` of `deploy/system.toml` against what the build of `ironmast` needs, because the
//! operators' machines have nothing else installed. They have a linker and the development files of the
//! C library. A dependency that compiles C, looks for a system library or calls another program needs
//! more.
//!
//! `docs/operators/system.md`, "Building", says how the packages were found.

use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;

use serde_json::Value;

/// The list of packages that the checks below assume.
const EXPECTED_PACKAGES: &str = r#"packages = ["ca-certificates", "gcc", "libc6-dev"]"#;

/// Crates that compile another language, look for system libraries or generate code with a program that
/// has to be installed.
const NATIVE_BUILD_CRATES: [&str; 14] = [
    "autotools",
    "bindgen",
    "cc",
    "clang-sys",
    "cmake",
    "cxx-build",
    "gcc",
    "meson",
    "nasm-rs",
    "pkg-config",
    "prost-build",
    "protobuf-codegen",
    "system-deps",
    "vcpkg",
];

/// Packages whose build scripts start a program and were reviewed in these versions. They start `rustc`
/// to find its version or features, and further programs only on systems other than Linux.
const REVIEWED_BUILD_SCRIPTS: [&str; 14] = [
    "anyhow 1.0.105",
    "crc32fast 1.5.5",
    "eyre 0.6.14",
    "httparse 1.10.1",
    "libc 0.2.191",
    "proc-macro2 1.0.107",
    "quote 1.0.47",
    "rustix 1.1.6",
    "rustversion 1.0.23",
    "serde 1.0.229",
    "serde_core 1.0.229",
    "slog-async 2.8.0",
    "thiserror 2.0.21",
    "zmij 1.0.23",
];

/// The text in a build script that shows that it starts a program.
const STARTS_PROGRAM: &str = "Command::new";

/// What a dependency needs beside the listed packages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// The package is in [`NATIVE_BUILD_CRATES`] or its name ends with `-sys`.
    NativeBuild { package: String },
    /// The package links a system library.
    NativeLibrary { package: String, library: String },
    /// The package has an unreviewed build script that starts a program.
    Program { package: String },
}

fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or_default()
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map_or(&[], Vec::as_slice)
}

/// The ids of `root` and of all packages that its build needs: normal and build dependencies.
fn build_closure(metadata: &Value, root: &str) -> BTreeSet<String> {
    let nodes: BTreeMap<&str, &Value> = list(&metadata["resolve"], "nodes")
        .iter()
        .map(|node| (text(node, "id"), node))
        .collect();
    let is_built = |dependency: &&Value| {
        let mut kinds = list(dependency, "dep_kinds").iter();
        kinds.any(|kind| text(kind, "kind") != "dev")
    };
    let mut closure = BTreeSet::new();
    let mut queue = vec![root.to_string()];
    while let Some(id) = queue.pop() {
        if !closure.insert(id.clone()) {
            continue;
        }
        let dependencies = list(nodes[id.as_str()], "deps").iter().filter(is_built);
        queue.extend(dependencies.map(|dependency| text(dependency, "pkg").to_string()));
    }
    closure
}

/// What one package needs; `read` returns the source of a build script.
fn needs_of(package: &Value, read: impl Fn(&str) -> String) -> Vec<Need> {
    let name = text(package, "name").to_string();
    let mut needs = Vec::new();
    if NATIVE_BUILD_CRATES.contains(&name.as_str())
        || name.ends_with("-sys") && name != "linux-raw-sys"
    {
        needs.push(Need::NativeBuild {
            package: name.clone(),
        });
    }
    if let Some(library) = package["links"].as_str() {
        needs.push(Need::NativeLibrary {
            package: name.clone(),
            library: library.to_string(),
        });
    }
    let is_build_script = |target: &&Value| list(target, "kind").contains(&"custom-build".into());
    let starts_program = list(package, "targets")
        .iter()
        .filter(is_build_script)
        .any(|script| read(text(script, "src_path")).contains(STARTS_PROGRAM));
    let is_reviewed =
        REVIEWED_BUILD_SCRIPTS.contains(&&*format!("{name} {}", text(package, "version")));
    if starts_program && !is_reviewed {
        needs.push(Need::Program { package: name });
    }
    needs
}

/// What the build of `ironmast` needs beside the listed packages.
fn needs(metadata: &Value, read: impl Fn(&str) -> String) -> BTreeSet<Need> {
    let packages = list(metadata, "packages");
    let root = packages
        .iter()
        .find(|package| text(package, "name") == "ironmast")
        .expect("the program");
    let closure = build_closure(metadata, text(root, "id"));
    packages
        .iter()
        .filter(|package| closure.contains(text(package, "id")))
        .flat_map(|package| needs_of(package, &read))
        .collect()
}

/// The metadata of the workspace, for this platform.
fn workspace_metadata() -> Value {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_string());
    let platform = format!("{}-unknown-linux-gnu", std::env::consts::ARCH);
    let output = Command::new(cargo)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(["metadata", "--locked", "--format-version", "1"])
        .args(["--filter-platform", &platform])
        .output()
        .expect("cargo runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn the_build_needs_no_other_package_than_those_listed() {
    let deploy = include_str!("../../../deploy/system.toml");
    assert!(
        deploy.contains(EXPECTED_PACKAGES),
        "deploy/system.toml lists other packages than these checks assume: {EXPECTED_PACKAGES}"
    );
    let read = |path: &str| std::fs::read_to_string(path).expect("a build script");
    let needs = needs(&workspace_metadata(), read);
    assert!(
        needs.is_empty(),
        "the build needs more than the listed packages: {needs:#?}"
    );
}

/// Metadata of a workspace whose program depends on `middle`, which depends on `last` by a dependency of
/// this kind.
fn metadata(kind: &Value, last: &Value) -> Value {
    let depends_on = |package: &str, kind: &Value| serde_json::json!([{"pkg": package, "dep_kinds": [{"kind": kind}]}]);
    let normal = Value::Null;
    serde_json::json!({
        "packages": [{"id": "1", "name": "ironmast"}, {"id": "2", "name": "middle"}, last],
        "resolve": {"nodes": [
            {"id": "1", "deps": depends_on("2", &normal)},
            {"id": "2", "deps": depends_on("3", kind)},
            {"id": "3", "deps": []},
        ]},
    })
}

/// Tests the check itself: it finds each way in which a dependency may need more packages.
#[test]
fn a_dependency_that_needs_more_is_found_through_others() {
    let script = serde_json::json!([{"kind": ["custom-build"], "src_path": "build.rs"}]);
    let cases = [
        (serde_json::json!({"id": "3", "name": "cc"}), 1),
        (serde_json::json!({"id": "3", "name": "openssl-sys"}), 1),
        (serde_json::json!({"id": "3", "name": "z", "links": "z"}), 1),
        (
            serde_json::json!({"id": "3", "name": "caller", "targets": script}),
            1,
        ),
        (serde_json::json!({"id": "3", "name": "plain"}), 0),
    ];
    let read = |_: &str| format!("fn main() {{ std::process::{STARTS_PROGRAM}(\"cmake\"); }}");
    for (last, count) in cases {
        for kind in [Value::Null, "build".into()] {
            let found = needs(&metadata(&kind, &last), read);
            assert_eq!(found.len(), count, "{last}: {found:?}");
        }
        let found = needs(&metadata(&"dev".into(), &last), read);
        assert!(
            found.is_empty(),
            "development dependencies do not count: {found:?}"
        );
    }
}
