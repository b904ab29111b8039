//! Hosts many instances of the decisions on the simulator's wire: standard input to standard output.

mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("glendeck-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends between two of them.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), wire::WireError> {
    let mut tier = wire::Tier::default();
    let (mut head, mut body, mut reply) = ([0u8; wire::HEADER], Vec::new(), Vec::new());
    while let Some(frame) = wire::read_frame(&mut input, &mut head, &mut body)? {
        reply.clear();
        tier.answer(&frame, &body, &mut reply)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}
