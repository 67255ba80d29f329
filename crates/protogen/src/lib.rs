//! Generates the committed message code of bridgevane-protocol.
//!
//! Run `cargo run -p bridgevane-protogen` after a change of the `.proto` file. A test compares the
//! committed code with newly generated code.

use derive_more::{Display, Error, From};
use std::path::{Path, PathBuf};

/// The error of a failed generation.
#[derive(Debug, Display, Error, From)]
pub enum GenerateError {
    /// The `.proto` file doesn't compile.
    #[display("the .proto file doesn't compile: {_0}")]
    Compile(protox::Error),
    /// A file can't be written.
    #[display("the generated code can't be written: {_0}")]
    Write(std::io::Error),
}

/// Returns the folder of the package whose code is generated.
pub fn protocol_package() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../protocol")
}

/// Generates the code into `out_dir`.
///
/// # Errors
/// [`GenerateError`] if the `.proto` file doesn't compile or a file can't be written.
pub fn generate(out_dir: &Path) -> Result<(), GenerateError> {
    let proto_dir = protocol_package().join("proto");
    let descriptors = protox::compile([proto_dir.join("peer.proto")], [proto_dir])?;
    prost_build::Config::new()
        .out_dir(out_dir)
        .bytes(["."])
        .compile_fds(descriptors)?;
    Ok(())
}
