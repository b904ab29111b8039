//! A port that adds every action and its time to a digest.

use std::collections::BTreeSet;

use glendeck::domain::{AttemptNumber, CallId, HostId, Span, Time, TimerToken};
use glendeck::port::Port;

/// 64-bit FNV-1a hash.
pub(crate) struct Digest(u64);

impl Digest {
    pub(crate) fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    pub(crate) fn value(&self) -> u64 {
        self.0
    }

    pub(crate) fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    pub(crate) fn add_float(&mut self, number: f64) {
        self.add(number.to_bits());
    }
}

/// The digest of all actions and exposed state, and the actions that the simulation has yet to carry out.
pub(crate) struct Recorder {
    pub digest: Digest,
    pub now: Time,
    /// Number of actions of each kind; index 0 is unused.
    pub counts_by_kind: [u64; 10],
    pub sent: Vec<(CallId, HostId, Span)>,
    pub ended: BTreeSet<CallId>,
    pub canceled: Vec<(CallId, u16)>,
    pub migrated: Vec<CallId>,
    pub probed: Vec<HostId>,
    /// Requests for the endpoint list; true for a watch, false for a single fetch.
    pub list_requests: Vec<bool>,
    pub timers: Vec<(Time, TimerToken)>,
}

impl Recorder {
    pub(crate) fn new(now: Time) -> Recorder {
        Recorder {
            digest: Digest::new(),
            now,
            counts_by_kind: [0; 10],
            sent: Vec::new(),
            ended: BTreeSet::new(),
            canceled: Vec::new(),
            migrated: Vec::new(),
            probed: Vec::new(),
            list_requests: Vec::new(),
            timers: Vec::new(),
        }
    }

    fn record(&mut self, kind: u64, numbers: &[u64]) {
        self.counts_by_kind[kind as usize] += 1;
        self.digest.add(kind);
        self.digest.add(self.now.0);
        for number in numbers {
            self.digest.add(*number);
        }
    }
}

impl Port for Recorder {
    fn send_attempt(&mut self, call: CallId, host: HostId, timeout: Span) {
        self.record(1, &[call.0, host.0, timeout.0]);
        self.sent.push((call, host, timeout));
    }
    fn reject(&mut self, call: CallId, retry_after: Option<Span>) {
        self.record(2, &[call.0, retry_after.map_or(u64::MAX, |wait| wait.0)]);
        self.ended.insert(call);
    }
    fn fail(&mut self, call: CallId) {
        self.record(3, &[call.0]);
        self.ended.insert(call);
    }
    fn cancel(&mut self, call: CallId, attempt: AttemptNumber) {
        self.record(4, &[call.0, u64::from(attempt.0)]);
        self.canceled.push((call, attempt.0));
    }
    fn migrate(&mut self, call: CallId) {
        self.record(5, &[call.0]);
        self.migrated.push(call);
    }
    fn probe(&mut self, host: HostId) {
        self.record(6, &[host.0]);
        self.probed.push(host);
    }
    fn fetch_endpoints(&mut self) {
        self.record(7, &[]);
        self.list_requests.push(false);
    }
    fn watch_endpoints(&mut self) {
        self.record(8, &[]);
        self.list_requests.push(true);
    }
    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.record(9, &[time.0, u64::from(token.0)]);
        self.timers.push((time, token));
    }
}
