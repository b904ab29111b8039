//! Encodes the actions of an instance as records of the simulator's protocol.

#[cfg(test)]
mod tests;

use glendeck::domain::{AttemptNumber, CallId, HostId, Span, Time, TimerToken};
use glendeck::port::Port;

use crate::record::HOST_BYTES;
use crate::units::NANOS_PER_MS;

/// Length of an action's record in bytes.
pub(crate) const ACTION_BYTES: usize = 32;

/// Codes of the actions in the protocol.
#[derive(Clone, Copy)]
enum ActionCode {
    FetchEndpoints = 2,
    Probe = 3,
    SendAttempt = 5,
    Fail = 7,
    SetTimer = 8,
    Cancel = 9,
    Migrate = 10,
    WatchEndpoints = 11,
    Reject = 13,
}

/// Appends the actions of one instance to the reply.
pub(crate) struct ActionWriter<'a> {
    instance: u32,
    reply: &'a mut Vec<u8>,
}

impl ActionWriter<'_> {
    /// A writer for the instance with this number.
    pub(crate) fn new(instance: u32, reply: &mut Vec<u8>) -> ActionWriter<'_> {
        ActionWriter { instance, reply }
    }

    fn write(&mut self, code: ActionCode, fields: &[&[u8]]) {
        let start = self.reply.len();
        self.reply.push(code as u8);
        self.reply.extend_from_slice(&self.instance.to_be_bytes());
        for field in fields {
            self.reply.extend_from_slice(field);
        }
        self.reply.resize(start + ACTION_BYTES, 0);
    }
}

fn ms_bytes(nanos: u64) -> [u8; 8] {
    (nanos as f64 / NANOS_PER_MS).to_be_bytes()
}

fn address_bytes(host: HostId) -> [u8; HOST_BYTES] {
    let bytes = host.0.to_be_bytes();
    std::array::from_fn(|index| bytes[bytes.len() - HOST_BYTES + index])
}

impl Port for ActionWriter<'_> {
    fn send_attempt(&mut self, call: CallId, host: HostId, within: Span) {
        let fields: [&[u8]; 3] = [&call.0.to_be_bytes(), &ms_bytes(within.0), &address_bytes(host)];
        self.write(ActionCode::SendAttempt, &fields);
    }

    fn reject(&mut self, call: CallId, retry_after: Option<Span>) {
        let retry_after_ms = ms_bytes(retry_after.unwrap_or_default().0);
        self.write(ActionCode::Reject, &[&call.0.to_be_bytes(), &retry_after_ms]);
    }

    fn fail(&mut self, call: CallId) {
        self.write(ActionCode::Fail, &[&call.0.to_be_bytes()]);
    }

    fn cancel(&mut self, call: CallId, attempt: AttemptNumber) {
        self.write(ActionCode::Cancel, &[&call.0.to_be_bytes(), &attempt.0.to_be_bytes()]);
    }

    fn migrate(&mut self, call: CallId) {
        self.write(ActionCode::Migrate, &[&call.0.to_be_bytes()]);
    }

    fn probe(&mut self, host: HostId) {
        self.write(ActionCode::Probe, &[&address_bytes(host)]);
    }

    fn fetch_endpoints(&mut self) {
        self.write(ActionCode::FetchEndpoints, &[]);
    }

    fn watch_endpoints(&mut self) {
        const FOLLOW_CHANGES: u8 = 1;
        self.write(ActionCode::WatchEndpoints, &[&[FOLLOW_CHANGES]]);
    }

    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.write(ActionCode::SetTimer, &[&ms_bytes(time.0), &token.0.to_be_bytes()]);
    }
}
