//! Generates the message code of bridgevane-protocol.

use bridgevane_protogen::{GenerateError, generate, protocol_package};

fn main() -> Result<(), GenerateError> {
    generate(&protocol_package().join("src/generated"))
}
