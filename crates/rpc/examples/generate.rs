//! Regenerates `src/generated`; run it after every change of `proto/mesh.proto`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/");
    let files = protox::compile([format!("{root}proto/mesh.proto")], [format!("{root}proto")])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(format!("{root}src/generated"))
        .compile_fds(files)?;
    Ok(())
}
