use super::*;

/// Replies of the admin interface, as recorded: one a line, with `\r`, `\n` and quotes escaped.
const REPLIES: &str = include_str!("fixtures/replies.txt");

fn replies() -> Vec<(Reply, bool)> {
    let phase = |phase: Phase| phase.name();
    let failed = |status: u16, error: &str| say(status, json!({"error": error}));
    let not_allowed = |methods| Reply { allow: Some(methods), ..failed(405, "not with this method") };
    let refused = |refusal: Refusal| failed(refusal.status(), &refusal.to_string());
    let undecided = |misses: Option<usize>| {
        let why = "not decided in time: it may still be. Ask again with the same id";
        say(503, json!({"done": false, "id": "ab", "why": why, "voters_not_heard": misses}))
    };
    vec![
        (say(200, json!({"ready": true, "phase": phase(Phase::Serving)})), true),
        (say(503, json!({"ready": false, "phase": phase(Phase::Replaced)})), false),
        (say(200, json!({"done": true, "phase": phase(Phase::Serving)})), true),
        (say(409, json!({"done": false, "phase": phase(Phase::Serving)})), true),
        (failed(404, "no such path"), true),
        (not_allowed("GET, HEAD"), true),
        (not_allowed("POST"), true),
        (refused(Refusal::Head), true),
        (refused(Refusal::Version), true),
        (refused(Refusal::HeadTooLarge), true),
        (refused(Refusal::BodyTooLarge), true),
        (refused(Refusal::Coding), true),
        (failed(404, "this node is of no fleet"), true),
        (say(409, json!({"done": false})), true),
        (say(200, json!({"done": true, "id": "ab", "said": "t"})), true),
        (say(409, json!({"done": false, "id": "ab", "why": "w"})), true),
        (undecided(Some(2)), true),
        (undecided(None), true),
    ]
}

#[test]
fn replies_are_written_as_recorded() {
    let replies = replies();
    assert_eq!(replies.len(), REPLIES.lines().count());
    for ((reply, with_body), recorded) in replies.iter().zip(REPLIES.lines()) {
        let mut bytes = Vec::new();
        encode(reply, *with_body, &mut bytes);
        let text = String::from_utf8(bytes).unwrap();
        assert_eq!(text.escape_default().to_string(), recorded);
    }
}

#[test]
fn phases_have_their_recorded_names() {
    let at = glendeck::domain::Time(0);
    let phases = [
        (Phase::Starting, "starting"),
        (Phase::Serving, "serving"),
        (Phase::Draining { since: at }, "draining"),
        (Phase::Replaced, "replaced"),
        (Phase::Leaving { until: at }, "leaving"),
        (Phase::Flushing, "leaving"),
        (Phase::Left, "left"),
    ];
    for (phase, name) in phases {
        assert_eq!(phase.name(), name);
    }
}
