//! Decodes events: their codes, and the offsets of their fields.

use glendeck::domain::{
    AttemptReport, Call, CallId, Cell, ClassId, Condition, Endpoint, GroupId, Kind, ListUpdate, Span,
    SubjectId, TenantId, Weight, Zone,
};

use crate::error::WireError;
use crate::record::{EventRecord, HOST_BYTES, host_id};
use crate::units::{MICROS_PER_SECOND, MS_PER_SECOND, time_from_ms};

/// Length of an entry of the endpoint list in bytes.
const ENDPOINT_BYTES: usize = 25;

/// Byte offset of the call's id, in the records of all events that have one.
const CALL_ID: usize = 5;

/// Byte offset, in the event's record, of the reference to an endpoint list.
const ENDPOINT_LIST: usize = 10;

// The bits of a call's flags.
/// The record gives the call's load, in ms of work per second.
const HAS_LOAD: u16 = 1;
/// The client marks the call as a repeat.
const IS_REPEAT: u16 = 2;
/// The call is an open connection whose packets now reach this instance.
const IS_MID_FLOW: u16 = 8;
/// The client has reconnected after a broken connection or a migration.
const HAS_RETURNED: u16 = 16;

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// An instance starts.
    InstanceStarted,
    /// The endpoint list has changed, or its watch has failed.
    EndpointsChanged,
    /// A call arrives.
    CallArrived,
    /// An attempt's connection is established.
    AttemptEstablished,
    /// An attempt has ended.
    AttemptEnded,
    /// A call's client has disconnected.
    ClientLeft,
    /// A timer has fired.
    TimerFired,
    /// A probe has ended.
    ProbeFinished,
    /// Another instance has sent a message.
    MessageReceived,
    /// An instance ends.
    InstanceStopped,
    /// A connection was open before the instance started.
    ConnectionInherited,
    /// A host reports on a connection.
    ConnectionReported,
}

impl EventKind {
    /// Decodes the kind of a record's event.
    pub(crate) fn decode(record: &EventRecord) -> Result<EventKind, WireError> {
        match record.u8(0) {
            1 => Ok(EventKind::InstanceStarted),
            2 => Ok(EventKind::EndpointsChanged),
            3 => Ok(EventKind::CallArrived),
            4 => Ok(EventKind::AttemptEstablished),
            5 => Ok(EventKind::AttemptEnded),
            6 => Ok(EventKind::ClientLeft),
            7 => Ok(EventKind::TimerFired),
            8 => Ok(EventKind::ProbeFinished),
            9 => Ok(EventKind::MessageReceived),
            10 => Ok(EventKind::InstanceStopped),
            11 => Ok(EventKind::ConnectionInherited),
            12 => Ok(EventKind::ConnectionReported),
            _ => Err(record.code_error(0, "event")),
        }
    }
}

/// Byte offsets of a call's fields in the event's record, which differ between new calls and inherited
/// connections.
struct CallLayout {
    class: usize,
    deadline: usize,
    flags: usize,
    group: usize,
    tenant: usize,
    subject: usize,
    load: usize,
}

const ARRIVED: CallLayout =
    CallLayout { class: 25, deadline: 26, flags: 34, group: 36, tenant: 21, subject: 13, load: 44 };

const INHERITED: CallLayout =
    CallLayout { class: 57, deadline: 23, flags: 13, group: 31, tenant: 39, subject: 15, load: 43 };

/// A call's id.
pub(crate) fn call_id(record: &EventRecord) -> CallId {
    CallId(record.u64(CALL_ID))
}

/// The call of [`EventKind::CallArrived`], for an instance with `class_count` classes.
pub(crate) fn arrived_call(record: &EventRecord, class_count: usize) -> Result<Call, WireError> {
    call(record, &ARRIVED, class_count)
}

/// The call of [`EventKind::ConnectionInherited`], for an instance with `class_count` classes.
pub(crate) fn inherited_call(record: &EventRecord, class_count: usize) -> Result<Call, WireError> {
    call(record, &INHERITED, class_count)
}

fn call(record: &EventRecord, layout: &CallLayout, class_count: usize) -> Result<Call, WireError> {
    let flags = record.u16(layout.flags);
    let load = if flags & HAS_LOAD != 0 {
        Some(record.load(layout.load, record.f64(layout.load), MS_PER_SECOND)?)
    } else {
        None
    };
    let call = Call {
        id: call_id(record),
        class: ClassId(record.u8(layout.class)),
        tenant: TenantId(record.u32(layout.tenant)),
        subject: Some(SubjectId(record.u64(layout.subject))).filter(|subject| subject.0 != 0),
        group: Some(GroupId(record.u64(layout.group))).filter(|group| group.0 != 0),
        deadline: record.time(layout.deadline)?,
        load,
        is_returning: flags & (IS_REPEAT | HAS_RETURNED) != 0,
        is_mid_flow: flags & IS_MID_FLOW != 0,
        prior_attempt: None,
    };
    if usize::from(call.class.0) >= class_count {
        return Err(record.code_error(layout.class, "traffic class"));
    }
    Ok(call)
}

/// How [`EventKind::EndpointsChanged`] changes the list; `None` if the watch has failed.
pub(crate) fn list_update(record: &EventRecord) -> Result<Option<ListUpdate>, WireError> {
    match record.u8(5) {
        1 => Ok(None),
        2 => Ok(Some(ListUpdate::Complete)),
        3 => Ok(Some(ListUpdate::Cached)),
        4 => Ok(Some(ListUpdate::Delta)),
        _ => Err(record.code_error(5, "kind of list update")),
    }
}

/// Replaces the contents of `endpoints` with the list of [`EventKind::EndpointsChanged`].
pub(crate) fn read_endpoints(record: &EventRecord, endpoints: &mut Vec<Endpoint>) -> Result<(), WireError> {
    endpoints.clear();
    let entries = record.tail(ENDPOINT_LIST, ENDPOINT_BYTES, "the endpoint list")?;
    for entry in entries.chunks_exact(ENDPOINT_BYTES) {
        endpoints.push(endpoint(record, entry)?);
    }
    Ok(())
}

fn endpoint(record: &EventRecord, entry: &[u8]) -> Result<Endpoint, WireError> {
    let word = |at: usize| u16::from_be_bytes([entry[at], entry[at + 1]]);
    let condition = match entry[14] {
        0 => Condition::Gone,
        1 => Condition::Ready,
        2 => Condition::Draining,
        other => return Err(record.code_error_with(ENDPOINT_LIST, "host condition", other)),
    };
    let started_ms = f64::from_be_bytes(std::array::from_fn(|index| entry[17 + index]));
    let started = time_from_ms(started_ms)
        .ok_or_else(|| record.value_error(ENDPOINT_LIST, "start time in the endpoint list", started_ms))?;
    let weight = f64::from(f32::from_be_bytes(std::array::from_fn(|index| entry[index])));
    if !weight.is_finite() || weight < 0.0 {
        return Err(record.value_error(ENDPOINT_LIST, "weight in the endpoint list", weight));
    }
    let address: [u8; HOST_BYTES] = std::array::from_fn(|index| entry[8 + index]);
    Ok(Endpoint {
        host: host_id(address),
        zone: Zone(word(6)),
        cell: Cell(word(4)),
        condition,
        weight: Weight(weight),
        kind: Some(Kind(u64::from(word(15)))),
        started_at: Some(started).filter(|started| started.0 != 0),
    })
}

/// What [`EventKind::ConnectionReported`] reports: a load in microseconds of work per second, or a message
/// time in ms.
pub(crate) fn report(record: &EventRecord) -> Result<AttemptReport, WireError> {
    const VALUE: usize = 20;
    match record.u8(13) {
        1 => Ok(AttemptReport::Load(record.load(VALUE, record.f32(VALUE), MICROS_PER_SECOND)?)),
        2 => {
            let seconds = record.load(VALUE, record.f32(VALUE), MS_PER_SECOND)?;
            Ok(AttemptReport::MessageTime(Span::from_seconds(seconds)))
        }
        _ => Err(record.code_error(13, "kind of report")),
    }
}
