//! Rates of arrivals, attempts and broken connections, and long-term averages of this node's traffic.

use crate::domain::{NodeSnapshot, Span};
use crate::state::load_stats::LoadStats;

/// Lowest smoothing factor of connections per unit of size; averages over about the duration of slow start.
const CONNECTIONS_PER_SIZE_SMOOTHING: f64 = 0.06;
/// Lowest smoothing factor of the usual values; averages over about the lifetime of connections.
const USUAL_SMOOTHING: f64 = 0.02;
/// Weight of each setup in the usual setup time.
const SETUP_TIME_SMOOTHING: f64 = 0.2;

/// Recent and usual traffic of this node.
#[derive(Default)]
pub(crate) struct TrafficStats {
    /// Recently sent attempts; decays every second.
    pub recent_attempts: f64,
    /// Open connections that broke recently; decays every second.
    pub recent_breaks: f64,
    /// New clients since the last tick.
    pub new_clients: u32,
    /// New clients per second.
    pub new_client_rate: f64,
    /// Connections per unit of nominal size of the ready hosts, smoothed.
    pub connections_per_size: f64,
    /// Usual number of connections of this node.
    pub usual_connections: f64,
    /// Total present capacity of the ready hosts: their sizes, reduced during slow start.
    pub ready_size: f64,
    /// Usual total capacity of the ready hosts.
    pub usual_ready_size: f64,
    /// In-flight calls of displaced clients.
    pub displaced_calls: f64,
    /// Usual setup time, in seconds; 0 before the first setup.
    pub setup_time: f64,
}

impl TrafficStats {
    /// Updates the usual values from the node's connections and the nominal and present size of the ready
    /// hosts. `startup_smoothing` is one over the ticks so far. The usual size follows growth at once and
    /// loss slowly.
    pub(crate) fn update_usual(
        &mut self,
        connections: f64,
        nominal_size: f64,
        ready_size: f64,
        startup_smoothing: f64,
    ) {
        let per_size = connections.max(1.0) / nominal_size.max(1e-6);
        let smoothing = startup_smoothing.max(CONNECTIONS_PER_SIZE_SMOOTHING);
        self.connections_per_size += (per_size - self.connections_per_size) * smoothing;
        self.usual_connections +=
            (connections - self.usual_connections) * startup_smoothing.max(USUAL_SMOOTHING);
        self.ready_size = ready_size;
        let usual = self.usual_ready_size.max(ready_size);
        self.usual_ready_size = usual + (ready_size - usual) * USUAL_SMOOTHING;
    }

    /// Updates the rate of new clients. Clients that return together would inflate it, and slow-start budgets
    /// with it: clients marked as returning are not counted, and the rate seen in a second counts as at most
    /// about three times the previous rate, which limits the effect of unmarked ones.
    pub(crate) fn update_rate(&mut self, elapsed: f64, smoothing: f64) {
        let max_rate = 3.0 * self.new_client_rate + 1.0;
        let seen = (f64::from(self.new_clients) / elapsed).min(max_rate);
        self.new_clients = 0;
        self.new_client_rate += (seen - self.new_client_rate) * smoothing;
    }

    /// Reduces the counts of recent attempts and broken connections to the given share.
    pub(crate) fn fade(&mut self, remaining_share: f64) {
        self.recent_attempts *= remaining_share;
        self.recent_breaks *= remaining_share;
    }

    /// Number of displaced clients, at most the number of in-flight calls beyond the usual connections. Where
    /// clients routinely move between nodes, every node has displaced clients without more connections than
    /// usual. 0 while the usual number of connections is unknown.
    pub(crate) fn displaced_beyond_usual(&self, in_flight: usize) -> f64 {
        let beyond_usual = in_flight as f64 - self.usual_connections;
        if self.usual_connections > 0.0 { self.displaced_calls.min(beyond_usual).max(0.0) } else { 0.0 }
    }

    /// Records a setup time and returns the time that the setup may take at any host, in seconds: 1.5 times
    /// the usual, plus a third of the usual for each setup that was ahead of it there, since the setups of a
    /// burst wait for each other. One slow setup raises the usual time by a fifth at most, so that an
    /// overloaded host does not hide its own slowness; where all setups are slow, as with a slow session
    /// store, a handful are enough to make that the usual time.
    pub(crate) fn record_setup(&mut self, took: Span, setups_ahead: u32) -> f64 {
        let took = took.seconds();
        let usual = if self.setup_time > 0.0 { self.setup_time } else { took };
        self.setup_time = usual + SETUP_TIME_SMOOTHING * (took.min(2.0 * usual) - usual);
        usual * (1.5 + f64::from(setups_ahead) / 3.0)
    }

    /// Traffic and mean loads for the node's next process; hosts and clients' loads are left empty.
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

    /// Restores what the previous process handed over. Classes that it did not have start without a mean.
    pub(crate) fn restore(&mut self, loads: &mut LoadStats, snapshot: &NodeSnapshot) {
        loads.mean = snapshot.mean_load;
        for (mean, restored) in loads.mean_by_class.iter_mut().zip(&snapshot.mean_load_by_class) {
            *mean = *restored;
        }
        self.new_client_rate = snapshot.new_client_rate;
        self.connections_per_size = snapshot.connections_per_size;
        self.setup_time = snapshot.setup_time;
        self.usual_connections = snapshot.usual_connections;
        self.ready_size = snapshot.ready_size;
        self.usual_ready_size = snapshot.usual_ready_size;
    }
}
