//! The node's program.

fn main() -> std::process::ExitCode {
    glendeck_node::run(glendeck_node::InjectedFaults::default())
}
