//! `deploy/balancer.toml` names every file that holds decision logic.

use std::path::Path;

const MANIFEST: &str = include_str!("../deploy/balancer.toml");
/// Folders whose files all belong to the decisions.
const DECISION_FOLDERS: [&str; 2] = ["src/node", "src/state"];

#[test]
fn manifest_names_every_file_of_the_decisions() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = vec!["src/node.rs".to_owned()];
    for folder in DECISION_FOLDERS {
        let entries = std::fs::read_dir(root.join(folder)).expect("the folder exists");
        for entry in entries {
            let name = entry.expect("the folder can be read").file_name();
            files.push(format!("{folder}/{}", name.to_str().expect("file names are UTF-8")));
        }
    }
    for file in files {
        assert!(MANIFEST.contains(&format!("\"{file}\"")), "{file} is missing from the manifest");
    }
}
