//! Rates of arrivals, attempts and breaks, and what is usual for this node.

use crate::domain::{NodeSnapshot, Span};
use crate::state::load_stats::LoadStats;

/// Lowest smoothing of connections for each unit of size: about the time that slow start takes.
const CONNECTIONS_PER_SIZE_SMOOTHING: f64 = 0.06;
/// Lowest smoothing of what is usual: about the time that connections last.
const USUAL_SMOOTHING: f64 = 0.02;
/// The usual setup time follows each setup by this share.
const SETUP_TIME_SMOOTHING: f64 = 0.2;

/// Traffic of this node of late.
#[derive(Default)]
pub(crate) struct TrafficStats {
    /// Attempts sent of late; fades by the second.
    pub recent_attempts: f64,
    /// Open connections that broke of late; fades by the second.
    pub recent_breaks: f64,
    /// New clients since the last tick.
    pub new_clients: u32,
    /// New clients a second.
    pub new_client_rate: f64,
    /// Connections for each unit of the ready hosts' size, smoothed.
    pub connections_per_size: f64,
    /// Connections that this node usually has.
    pub usual_connections: f64,
    /// Size of all ready hosts now.
    pub ready_size: f64,
    /// Size of all ready hosts as a rule.
    pub usual_ready_size: f64,
    /// In-flight calls of clients that returned but had left another node.
    pub displaced_calls: f64,
    /// What a setup usually takes, in seconds; 0 before the first.
    pub setup_time: f64,
}

impl TrafficStats {
    /// Updates what is usual: connections, and the ready hosts' nominal and present size. `first` is one over the
    /// seconds so far. The usual size follows growth at once and loss slowly.
    pub(crate) fn update_usual(&mut self, connections: f64, nominal_size: f64, ready_size: f64, first: f64) {
        let per_size = connections.max(1.0) / nominal_size.max(1e-6);
        let smoothing = first.max(CONNECTIONS_PER_SIZE_SMOOTHING);
        self.connections_per_size += (per_size - self.connections_per_size) * smoothing;
        self.usual_connections += (connections - self.usual_connections) * first.max(USUAL_SMOOTHING);
        self.ready_size = ready_size;
        let usual = self.usual_ready_size.max(ready_size);
        self.usual_ready_size = usual + (ready_size - usual) * USUAL_SMOOTHING;
    }

    /// Updates the rate of new clients. Clients that return together would swell it, and slow-start budgets with it:
    /// those that say they return are not counted, and a rise is cut to three times a second, which catches the rest.
    pub(crate) fn update_rate(&mut self, elapsed: f64, smoothing: f64) {
        let max_rate = 3.0 * self.new_client_rate + 1.0;
        let seen = (f64::from(self.new_clients) / elapsed).min(max_rate);
        self.new_clients = 0;
        self.new_client_rate += (seen - self.new_client_rate) * smoothing;
    }

    /// Fades recent attempts and breaks to the given share.
    pub(crate) fn fade(&mut self, remaining_share: f64) {
        self.recent_attempts *= remaining_share;
        self.recent_breaks *= remaining_share;
    }

    /// Clients that other nodes sent away and that are here now. Where clients come and go between nodes all nodes have
    /// displaced clients, and none has more than usual; a node that knows no usual count knows nothing of them.
    pub(crate) fn displaced_beyond_usual(&self, in_flight: usize) -> f64 {
        let beyond_usual = in_flight as f64 - self.usual_connections;
        if self.usual_connections > 0.0 { self.displaced_calls.min(beyond_usual).max(0.0) } else { 0.0 }
    }

    /// Records a setup and returns what it may take at any host, in seconds: half as much again as the usual, and a
    /// third for each that was ahead of it there, as a burst makes its own queue. One slow setup raises the usual by a
    /// fifth at most, so that a host going under does not hide itself; where all are slow, as with a slow session
    /// store, a handful are enough to make that usual.
    pub(crate) fn record_setup(&mut self, took: Span, setups_ahead: u32) -> f64 {
        let took = took.seconds();
        let usual = if self.setup_time > 0.0 { self.setup_time } else { took };
        self.setup_time = usual + SETUP_TIME_SMOOTHING * (took.min(2.0 * usual) - usual);
        usual * (1.5 + f64::from(setups_ahead) / 3.0)
    }

    /// What the next process of the node has to know of traffic and loads; hosts and clients' loads are left empty.
    pub(crate) fn snapshot(&self, loads: &LoadStats) -> NodeSnapshot {
        NodeSnapshot {
            mean_load: loads.mean,
            mean_load_by_class: loads.mean_by_class.clone(),
            new_client_rate: self.new_client_rate,
            connections_per_size: self.connections_per_size,
            usual_connections: self.usual_connections,
            ready_size: self.ready_size,
            usual_ready_size: self.usual_ready_size,
            setup_time: self.setup_time,
            ..NodeSnapshot::default()
        }
    }

    /// Adopts what the process before knew. Classes that it did not know begin anew.
    pub(crate) fn restore(&mut self, loads: &mut LoadStats, snapshot: &NodeSnapshot) {
        loads.mean = snapshot.mean_load;
        for (mean, before) in loads.mean_by_class.iter_mut().zip(&snapshot.mean_load_by_class) {
            *mean = *before;
        }
        self.new_client_rate = snapshot.new_client_rate;
        self.connections_per_size = snapshot.connections_per_size;
        self.setup_time = snapshot.setup_time;
        self.usual_connections = snapshot.usual_connections;
        self.ready_size = snapshot.ready_size;
        self.usual_ready_size = snapshot.usual_ready_size;
    }
}
