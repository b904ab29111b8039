//! The frontend before the nodes: asks each node whether it accepts clients, and deals clients out among those that do.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::spawn;

/// Each node is asked so often; one that does not answer within the timeout accepts nobody.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether a node accepts clients.
#[derive(Clone, Copy, Debug)]
pub struct NodeAvailability {
    /// It accepted clients when it was asked last.
    pub accepts_clients: bool,
    /// Since when that is so.
    pub since: Instant,
}

#[derive(Default)]
struct Knowledge {
    availability: BTreeMap<usize, NodeAvailability>,
    /// Nodes that the harness itself has disrupted, and when: they count neither as out nor for what breaks there.
    disrupted: BTreeMap<usize, Instant>,
    /// Most nodes at once that accepted no clients, of those that are not disrupted.
    most_out: usize,
}

/// What the frontend knows; clones share it.
#[derive(Clone, Default)]
pub struct FrontendView(Arc<Mutex<Knowledge>>);

impl FrontendView {
    /// Starts to ask these nodes, until `stop` is set.
    pub(crate) fn watch(nodes: &[SocketAddr], stop: &Arc<AtomicBool>) -> FrontendView {
        let view = FrontendView::default();
        for (node, address) in nodes.iter().copied().enumerate() {
            let view = view.clone();
            let stop = stop.clone();
            spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let accepts_clients = accepts_clients(address).unwrap_or(false);
                    view.record(node, accepts_clients);
                    std::thread::sleep(POLL_INTERVAL);
                }
            });
        }
        view
    }

    /// Draws one of the nodes that accept clients.
    pub fn pick(&self, rng: &mut WyRand) -> Option<usize> {
        let knowledge = self.0.lock().ok()?;
        let accepting = knowledge.availability.iter().filter(|(_, known)| known.accepts_clients);
        let accepting: Vec<usize> = accepting.map(|(node, _)| *node).collect();
        let drawn = rng.generate_range(0..accepting.len().max(1));
        accepting.get(drawn).copied()
    }

    /// What was found of a node, once it has been asked.
    pub fn availability(&self, node: usize) -> Option<NodeAvailability> {
        self.0.lock().ok()?.availability.get(&node).copied()
    }

    /// Whether the harness has disrupted this node and it has not recovered.
    pub fn is_disrupted(&self, node: usize) -> bool {
        self.0.lock().is_ok_and(|knowledge| knowledge.disrupted.contains_key(&node))
    }

    pub(crate) fn mark_disrupted(&self, node: usize) {
        if let Ok(mut knowledge) = self.0.lock() {
            knowledge.disrupted.insert(node, Instant::now());
        }
    }

    /// Nodes that have accepted clients again for `stable` since they were disrupted are disrupted no more.
    pub(crate) fn clear_recovered(&self, stable: Duration) {
        let Ok(mut knowledge) = self.0.lock() else { return };
        let Knowledge { availability, disrupted, .. } = &mut *knowledge;
        disrupted.retain(|node, disrupted_at| {
            let has_recovered = availability.get(node).is_some_and(|known| {
                known.accepts_clients && known.since.elapsed() >= stable && known.since > *disrupted_at
            });
            !has_recovered
        });
    }

    pub(crate) fn most_out(&self) -> usize {
        self.0.lock().map_or(0, |knowledge| knowledge.most_out)
    }

    pub(crate) fn reset_most_out(&self) {
        if let Ok(mut knowledge) = self.0.lock() {
            knowledge.most_out = 0;
        }
    }

    fn record(&self, node: usize, accepts_clients: bool) {
        let Ok(mut knowledge) = self.0.lock() else { return };
        let now = NodeAvailability { accepts_clients, since: Instant::now() };
        let known = knowledge.availability.entry(node).or_insert(now);
        if known.accepts_clients != accepts_clients {
            *known = now;
        }
        let is_out = |(node, known): &(&usize, &NodeAvailability)| {
            !known.accepts_clients && !knowledge.disrupted.contains_key(node)
        };
        let out = knowledge.availability.iter().filter(is_out).count();
        knowledge.most_out = knowledge.most_out.max(out);
    }
}

fn accepts_clients(address: SocketAddr) -> std::io::Result<bool> {
    let stream = TcpStream::connect_timeout(&address, POLL_TIMEOUT)?;
    stream.set_read_timeout(Some(POLL_TIMEOUT))?;
    let mut reader = BufReader::new(stream);
    reader.get_mut().write_all(b"PING\r\n")?;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end() == "PONG")
}
