//! Checks that `deploy/balancer.toml` lists `src/node.rs` and every file of `src/node` and `src/state`, which
//! hold the decision logic.

use std::path::Path;

const MANIFEST: &str = include_str!("../deploy/balancer.toml");
/// Folders in which every file holds decision logic.
const DECISION_FOLDERS: [&str; 2] = ["src/node", "src/state"];

/// Adds the paths of all files below a folder, relative to the repository's root.
fn collect_files(folder: &str, files: &mut Vec<String>) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    for entry in std::fs::read_dir(path).expect("the folder exists") {
        let entry = entry.expect("the folder can be read");
        let name = entry.file_name().into_string().expect("file names are UTF-8");
        let relative = format!("{folder}/{name}");
        if entry.path().is_dir() {
            collect_files(&relative, files);
        } else {
            files.push(relative);
        }
    }
}

#[test]
fn manifest_lists_every_file_with_decision_logic() {
    let mut files = vec!["src/node.rs".to_owned()];
    for folder in DECISION_FOLDERS {
        collect_files(folder, &mut files);
    }
    for file in files {
        assert!(MANIFEST.contains(&format!("\"{file}\"")), "{file} is missing from deploy/balancer.toml");
    }
}
