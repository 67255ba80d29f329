//! No source file outside of `platform/` contains names of the platform's protocol.

use std::path::{Path, PathBuf};

/// Names of headers, fields and paths that occur in the platform's protocol only.
const NAMES: [&str; 40] = [
    "attempt-id",
    "deadline-ms",
    "prompt-prefix",
    "token-usage",
    "target-instance",
    "instance-load",
    "instance-id",
    "server-limit",
    "server-leaving",
    "not-executed",
    "request-urgency",
    "response-signature",
    "weight-versions",
    "length-hint",
    "pin-ms",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-fetch",
    "kv-from",
    "kv-backup",
    "hold-take",
    "duty-holder",
    "fencing-token",
    "kv-keep",
    "windowindex",
    "spotprice",
    "zoneprices",
    "op/config",
    "op/evacuate",
    "allowedregions",
    "servers/",
    "pathprefix",
    "sincerev",
    "expectrev",
    "apikeys",
    "coldremainingms",
    "bridgevane_boot",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if path.is_dir() && !["target", "platform", ".git", "journal"].contains(&name.as_str()) {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Guards against code outside of `platform/` that depends on the platform's protocol.
#[test]
fn no_source_outside_of_the_platform_folder_contains_its_names() {
    let mut found = Vec::new();
    collect_sources(Path::new(env!("CARGO_MANIFEST_DIR")), &mut found);
    let this_file = Path::new(file!()).file_name();
    found.retain(|path| path.file_name() != this_file);
    assert!(found.len() > 100, "{}", found.len());
    for path in found {
        let text = std::fs::read_to_string(&path)
            .expect("it can be read")
            .to_lowercase();
        for name in NAMES {
            assert!(!text.contains(name), "{name} in {}", path.display());
        }
    }
}
