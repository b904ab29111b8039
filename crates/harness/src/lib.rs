//! For development: a cluster of real node processes on loopback, with injected faults on links, processes and disks.
//!
//! Hosts, discovery, the frontend and its clients are fakes; a proxy sits on every link between nodes. Tests judge by what
//! the fakes observed, not by what nodes say of themselves.

mod clients;
mod cluster;
mod fake_discovery;
mod fake_host;
mod frontend;
mod grouped_clients;
mod keyed_clients;
mod links;
mod node_config;
mod observations;
mod scripted_clients;
mod supervisor;

pub use clients::{ClientStats, Clients};
pub use cluster::{AdminReply, Cluster, ClusterSpec};
pub use fake_discovery::FakeDiscovery;
pub use fake_host::FakeHost;
pub use frontend::{FrontendView, NodeAvailability};
pub use grouped_clients::{GroupObservations, GroupedClients};
pub use keyed_clients::{KeyedClientStats, KeyedClients, class_of};
pub use links::{LinkFault, Links};
pub use observations::{Execution, Executions};
pub use scripted_clients::{ClientAnswer, HostBehaviour, ScriptedClients};

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::net;
use rustix::net::sockopt;

/// How long a client waits for its answer, and how much later an answer still counts.
pub(crate) const CALL_DEADLINE: Duration = Duration::from_millis(1_500);
pub(crate) const LATE_ANSWER_TOLERANCE: Duration = Duration::from_millis(500);

/// Reserves an address for this run: it is bound and never listened at. Nodes share their port with their successors, so
/// one that was only free a moment ago may belong to another run by now.
pub(crate) fn reserve() -> std::io::Result<(OwnedFd, SocketAddr)> {
    let fd = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    sockopt::set_socket_reuseport(&fd, true)?;
    net::bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address =
        SocketAddr::try_from(net::getsockname(&fd)?).map_err(|_| std::io::Error::other("no address"))?;
    Ok((fd, address))
}

pub(crate) fn loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}

/// Threads here only wait: a fleet of sixty has a few thousand.
pub(crate) fn spawn(job: impl FnOnce() + Send + 'static) {
    let _ = std::thread::Builder::new().stack_size(128 << 10).spawn(job);
}
