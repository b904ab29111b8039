//! State of a node: calls, hosts, and estimates of traffic, load and sizes. Each module owns one kind of
//! state and its arithmetic; [`crate::node`] makes the decisions.

pub(crate) mod call;
pub(crate) mod concurrency_limit;
pub(crate) mod endpoint_watch;
pub(crate) mod fleet_estimate;
pub(crate) mod groups;
pub(crate) mod host;
pub(crate) mod host_size;
pub(crate) mod load_cache;
pub(crate) mod load_stats;
pub(crate) mod remote_connections;
pub(crate) mod retry_counter;
pub(crate) mod timers;
pub(crate) mod traffic_stats;
pub(crate) mod unit_hash;
pub(crate) mod waiting_queue;
