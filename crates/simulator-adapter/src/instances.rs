//! The instances that this process runs, and the handling of their events.

use glendeck::Node;
use glendeck::domain::{Endpoint, Time, TimerToken};
use glendeck_settings::SettingsMap;
use rustc_hash::FxHashMap;

use crate::action::{ACTION_BYTES, ActionWriter};
use crate::error::WireError;
use crate::event::{self, EventKind};
use crate::frame::Frame;
use crate::record::EventRecord;

/// Byte offset of the instance's number in all records.
const INSTANCE: usize = 1;

/// Length of a reply's header in bytes. It has the batch's number, the number of actions, and their length in
/// bytes.
const REPLY_HEADER_BYTES: usize = 12;

/// A running instance.
struct Instance {
    class_count: usize,
    node: Node,
}

/// All instances by number; a stopped instance keeps its number, with the value `None`.
#[derive(Default)]
pub(crate) struct Instances {
    by_number: FxHashMap<u32, Option<Instance>>,
    /// The endpoint list that was decoded last; the buffer is reused to avoid allocation.
    endpoints: Vec<Endpoint>,
}

impl Instances {
    /// Handles a batch's events and appends the reply.
    ///
    /// # Errors
    /// An event is invalid; handling stops at the first one.
    pub(crate) fn answer(&mut self, frame: &Frame, reply: &mut Vec<u8>) -> Result<(), WireError> {
        let start = reply.len();
        reply.resize(start + REPLY_HEADER_BYTES, 0);
        for record in frame.events() {
            self.handle(&record, frame.now, reply)?;
        }
        let length = (reply.len() - start - REPLY_HEADER_BYTES) as u32;
        let action_count = length / ACTION_BYTES as u32;
        let header = [frame.batch, action_count, length].map(u32::to_be_bytes).concat();
        reply[start..start + REPLY_HEADER_BYTES].copy_from_slice(&header);
        Ok(())
    }

    fn handle(&mut self, record: &EventRecord, now: Time, reply: &mut Vec<u8>) -> Result<(), WireError> {
        let number = record.u32(INSTANCE);
        let actions = &mut ActionWriter::new(number, reply);
        let kind = EventKind::decode(record)?;
        if kind == EventKind::InstanceStarted {
            let instance = start(record, number, now, actions)?;
            self.by_number.insert(number, Some(instance));
            return Ok(());
        }
        let slot = self.by_number.get_mut(&number).ok_or(WireError::NeverStarted {
            batch: record.batch(),
            record: record.number(),
            byte: record.byte(INSTANCE),
            instance: number,
        })?;
        if kind == EventKind::InstanceStopped {
            *slot = None;
        }
        match slot {
            Some(instance) => instance.handle(kind, record, now, &mut self.endpoints, actions),
            None => Ok(()),
        }
    }
}

fn start(
    record: &EventRecord,
    number: u32,
    now: Time,
    actions: &mut ActionWriter,
) -> Result<Instance, WireError> {
    let (batch, record_number) = (record.batch(), record.number());
    let text = std::str::from_utf8(record.tail(13, 1, "the settings")?).map_err(|_| WireError::Text {
        batch,
        record: record_number,
        instance: number,
    })?;
    let settings = SettingsMap::from_lines(text)
        .and_then(|map| glendeck_settings::settings(&map))
        .map_err(|source| WireError::Settings { batch, record: record_number, instance: number, source })?;
    let class_count = settings.classes.len();
    let seed = record.u64(5);
    Ok(Instance { class_count, node: Node::start(settings, seed, now, actions) })
}

impl Instance {
    fn handle(
        &mut self,
        kind: EventKind,
        record: &EventRecord,
        now: Time,
        endpoints: &mut Vec<Endpoint>,
        actions: &mut ActionWriter,
    ) -> Result<(), WireError> {
        let node = &mut self.node;
        let call = event::call_id(record);
        match kind {
            // `Instances::handle` handles both.
            EventKind::InstanceStarted | EventKind::InstanceStopped => {}
            EventKind::EndpointsChanged => match event::list_update(record)? {
                None => node.watch_failed(now, actions),
                Some(update) => {
                    event::read_endpoints(record, endpoints)?;
                    node.endpoints_changed(now, update, endpoints, actions);
                }
            },
            EventKind::CallArrived => {
                let call = event::arrived_call(record, self.class_count)?;
                node.call_arrived(now, call, actions);
            }
            EventKind::ConnectionInherited => {
                let call = event::inherited_call(record, self.class_count)?;
                node.existing_connection(now, call, record.host(51));
            }
            EventKind::AttemptEstablished => {
                let setup_time = record.span(21)?;
                node.attempt_established(now, call, record.attempt_number(13), setup_time, actions);
            }
            EventKind::AttemptEnded => {
                let outcome = record.outcome(21)?;
                let is_last = record.u8(30) != 0;
                node.attempt_ended(now, call, record.attempt_number(13), outcome, is_last, actions);
            }
            EventKind::ClientLeft => node.client_left(now, call, actions),
            EventKind::TimerFired => node.timer_fired(now, TimerToken(record.u32(5)), actions),
            EventKind::ProbeFinished => {
                let outcome = record.outcome(19)?;
                let duration = record.span(5)?;
                node.probe_finished(now, record.host(13), outcome, duration, actions);
            }
            // Instances do not use messages; only the reference to the message is checked.
            EventKind::MessageReceived => {
                record.tail(9, 1, "the message")?;
            }
            EventKind::ConnectionReported => {
                let report = event::report(record)?;
                node.attempt_report(now, call, record.attempt_number(24), report, actions);
            }
        }
        Ok(())
    }
}
