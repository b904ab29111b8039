use glendeck::domain::{ClassId, Span, Time};
use glendeck_fleet::RequestResult;
use glendeck_fleet::state::{CommandResult, RequestId};

use super::reply::{Reply, Status};
use super::routes::{PhaseChange, Readiness};
use crate::fleet::requests::{RequestError, result_reply};
use crate::http::request::Refusal;
use crate::lifecycle::Phase;
use crate::metrics::{Metrics, MetricsPage, Outcome};

/// Replies of the admin interface, as recorded: one a line, with `\r`, `\n` and quotes escaped.
const REPLIES: &str = include_str!("fixtures/replies.txt");

/// The metrics output, as recorded.
const METRICS: &str = include_str!("fixtures/metrics.json");

#[test]
fn phases_have_their_recorded_names() {
    let at = Time(0);
    let phases = [
        (Phase::Starting, "starting", "draining"),
        (Phase::Serving, "serving", "draining"),
        (Phase::Replaced, "replaced", "replaced"),
        (Phase::Leaving { until: at }, "leaving", "leaving"),
        (Phase::Flushing, "leaving", "leaving"),
        (Phase::Left, "left", "left"),
    ];
    for (phase, in_service, draining) in phases {
        assert_eq!((phase.name(false), phase.name(true)), (in_service, draining));
    }
}

fn replies() -> Vec<(Reply, bool)> {
    let serving = Phase::Serving.name(false);
    let replaced = Phase::Replaced.name(false);
    let id = RequestId("ab".to_owned());
    let answered = |result| result_reply(&id, &RequestResult::Answered(result), None);
    vec![
        (Reply::new(Status::Ok, &Readiness { phase: serving, ready: true }), true),
        (Reply::new(Status::ServiceUnavailable, &Readiness { phase: replaced, ready: false }), false),
        (Reply::new(Status::Ok, &PhaseChange { done: true, phase: serving }), true),
        (Reply::new(Status::Conflict, &PhaseChange { done: false, phase: serving }), true),
        (Reply::no_such_path(), true),
        (Reply::method_not_allowed("GET, HEAD"), true),
        (Reply::method_not_allowed("POST"), true),
        (Reply::from(Refusal::Head), true),
        (Reply::from(Refusal::Version), true),
        (Reply::from(Refusal::HeadTooLarge), true),
        (Reply::from(Refusal::BodyTooLarge), true),
        (Reply::from(Refusal::Coding), true),
        (Reply::from(RequestError::NoFleet), true),
        (Reply::done(false), true),
        (answered(CommandResult::Done("t".to_owned())), true),
        (answered(CommandResult::Refused("w".to_owned())), true),
        (result_reply(&id, &RequestResult::Unknown, Some(2)), true),
        (result_reply(&id, &RequestResult::Unknown, None), true),
    ]
}

#[test]
fn replies_are_written_as_recorded() {
    let replies = replies();
    assert_eq!(replies.len(), REPLIES.lines().count());
    for ((reply, with_body), recorded) in replies.iter().zip(REPLIES.lines()) {
        let mut bytes = Vec::new();
        reply.encode(*with_body, &mut bytes);
        let text = String::from_utf8(bytes).unwrap();
        assert_eq!(text.escape_default().to_string(), recorded);
    }
}

#[test]
fn metrics_page_is_written_as_recorded() {
    let mut metrics = Metrics::new(&["pay".to_owned(), "chat".to_owned()]);
    let outcomes = [(Outcome::Success, 5), (Outcome::Busy, 2), (Outcome::Failure, 1)];
    for (outcome, count) in outcomes {
        (0..count).for_each(|_| metrics.count(ClassId(0), outcome));
    }
    let page = MetricsPage {
        calls: metrics.by_class(),
        backend_calls: 9,
        inflight: 3,
        waiting: 1,
        hosts_listed: 4,
        hosts_down: 1,
        slowest_turn_ms: Span::ms(2).seconds() * 1e3,
        log_lines_lost: 7,
    };
    let mut bytes = Vec::new();
    Reply::new(Status::Ok, &page).encode(true, &mut bytes);
    let text = String::from_utf8(bytes).unwrap();
    let (_, body) = text.split_once("\r\n\r\n").unwrap();
    assert_eq!(body, METRICS);
}
