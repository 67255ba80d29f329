//! Generates the committed message code of bridgevane-protocol.
//!
//! `cargo run -p bridgevane-protogen` writes it anew after a change of the `.proto` file; a
//! test compares what is committed with what would be written.

use derive_more::{Display, Error, From};
use std::path::{Path, PathBuf};

/// Why the code can't be generated.
#[derive(Debug, Display, Error, From)]
pub enum GenerateError {
    /// The `.proto` file doesn't compile.
    #[display("the messages don't compile: {_0}")]
    Compile(protox::Error),
    /// A file can't be written.
    #[display("can't write: {_0}")]
    Write(std::io::Error),
}

/// The package whose code is generated.
pub fn protocol_package() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../protocol")
}

/// Writes the code into `out_dir`.
///
/// # Errors
/// [`GenerateError`] when the messages don't compile or a file can't be written.
pub fn generate(out_dir: &Path) -> Result<(), GenerateError> {
    let proto_dir = protocol_package().join("proto");
    let descriptors = protox::compile([proto_dir.join("peer.proto")], [proto_dir])?;
    prost_build::Config::new()
        .out_dir(out_dir)
        .bytes(["."])
        .compile_fds(descriptors)?;
    Ok(())
}
