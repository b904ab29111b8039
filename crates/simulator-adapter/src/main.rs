//! Runs many instances of the routing decisions for the simulator, over standard input and output.
//!
//! Each batch of events arrives as one frame and is answered by one frame with the actions of all instances.
//! Both are binary, big-endian and packed, with the codes and fields of the simulator's protocol.

mod action;
mod error;
mod event;
mod frame;
mod instances;
mod record;
mod units;

use std::io::{self, Read, Write};
use std::process::ExitCode;

use error::WireError;
use frame::FrameReader;
use instances::Instances;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The exit code tells of the error even if nobody reads the line.
            let _ = writeln!(io::stderr(), "glendeck-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends between two of them.
fn serve(input: impl Read, mut output: impl Write) -> Result<(), WireError> {
    let mut frames = FrameReader::new(input);
    let mut instances = Instances::default();
    let mut reply = Vec::new();
    while let Some(frame) = frames.read()? {
        reply.clear();
        instances.answer(&frame, &mut reply)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}
