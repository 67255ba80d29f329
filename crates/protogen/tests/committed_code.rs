//! Tests that the committed message code is current.

use bridgevane_protogen::{generate, protocol_package};

const FILE: &str = "bridgevane.peer.v1.rs";

/// Guards against a change of the `.proto` file without newly generated code.
#[test]
fn committed_code_is_current() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    generate(directory.path()).expect("the messages compile");
    let written = std::fs::read_to_string(directory.path().join(FILE)).expect("generated code");
    let committed = protocol_package().join("src/generated").join(FILE);
    let committed = std::fs::read_to_string(committed).expect("committed code");
    assert_eq!(
        written, committed,
        "run `cargo run -p bridgevane-protogen` and commit"
    );
}
