//! For development: a fleet of real processes on loopback. Hosts, the list's service, the front and its clients are
//! stand-ins; a proxy sits on every link between nodes. What is true is judged by what the stand-ins saw.

mod agencies;
mod clients;
mod errands;
mod fleet;
mod links;
mod stand_ins;
mod workers;

pub use agencies::{Agencies, Groups};
pub use clients::{Clients, Seen};
pub use errands::{Errands, Heard, Wish};
pub use fleet::{Fleet, Reply, Shape};
pub use links::{Links, Way};
pub use stand_ins::{Did, Effects, Host, List};
pub use workers::{Ended, Workers, kind_of};

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use rustix::net;
use rustix::net::sockopt;

/// An address that stays this run's own: bound and never listened at. Danger: nodes share their port, so one that was
/// only free a moment ago may be another run's by now.
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
