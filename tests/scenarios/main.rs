//! Plays the scenarios of this folder; `README.md` beside them describes their notation.

mod notation;
mod player;
#[path = "../support/mod.rs"]
mod support;

use player::Player;
use test_case::test_case;

#[test_case("placement"; "lowest score, ties, zones, groups and sizes")]
#[test_case("rebalancing"; "rebalancing moves one connection")]
#[test_case("smoothing"; "reported load counts in the score, smoothed")]
#[test_case("retries"; "a failed attempt is followed by a retry elsewhere, within limits")]
#[test_case("non_idempotent"; "a non-idempotent call never runs twice")]
#[test_case("prior_attempt"; "a call that comes with a prior attempt keeps to it")]
#[test_case("keyed"; "a keyed call stays where its repeats are recognised")]
#[test_case("waiting_queue"; "calls wait for a host and are answered in time")]
#[test_case("drain"; "a draining host gets nothing new")]
#[test_case("slow_start"; "a cold host is not overloaded")]
#[test_case("slow_start_rush"; "a cold host alone is not filled by what hosts usually hold")]
#[test_case("slow_start_large_fleet"; "many nodes share what a cold host can take")]
#[test_case("score_offset"; "a node of many begins with hosts of its own")]
#[test_case("slow_start_refill"; "a cold host of a large fleet is filled by all nodes, which know it empty")]
#[test_case("readmission"; "a large fleet that lost hosts readmits the clients it can carry")]
#[test_case("endpoint_watch_spread"; "many nodes spread their requests for the list")]
#[test_case("overload_penalty"; "silence of a host without connections of this node is no good news")]
#[test_case("affinity"; "calls of a group go to homes that all nodes draw alike")]
#[test_case("waits_for_home"; "calls wait for a home while hosts are closed")]
#[test_case("setup_throttle"; "hosts that reject calls are not each asked for each call")]
#[test_case("shedding_by_chance"; "one connection of many nodes is shed by chance")]
#[test_case("setup_limit"; "as many setups are in progress as complete in time, and what comes too late is answered at once")]
#[test_case("returning_clients"; "returning clients do not swell a cold host's budget")]
#[test_case("ejection"; "a host that fails fast is ejected and returns by probes")]
#[test_case("panic_mode"; "when most hosts look bad ejections are ignored")]
#[test_case("broken_connections"; "a dead host shows in its broken connections")]
#[test_case("reject_backoff"; "a host that rejects calls rests longer each time")]
#[test_case("overload"; "an overloaded host sheds some connections and takes no more")]
#[test_case("load_cache"; "the load of a returning client is remembered")]
#[test_case("timers"; "timers for waiting calls do not multiply")]
#[test_case("endpoint_watch"; "failed requests for the list are repeated with growing waits")]
#[test_case("probe_times"; "without message times a host that answers probes slower than usual is overloaded")]
#[test_case("failed_probes"; "a host in service that answers no probe is ejected")]
#[test_case("slow_setups"; "without message times a host whose setups take too long is overloaded")]
#[test_case("displaced_clients"; "clients that another node sent away open its hosts and the limits")]
#[test_case("last_connection_breaks"; "a host whose last connection broke is used again")]
#[test_case("worth"; "waiting calls are placed by revenue for their load")]
#[test_case("process_handover"; "the next process of a node goes on where the one before stands")]
#[test_case("shedding_by_worth"; "in a closed fleet what earns least is shed first")]
#[test_case("standstill"; "a host that stands still loses its connections, not its limit")]
#[test_case("retry_budget"; "retries keep within their budget")]
#[test_case("start_uncertainty"; "a listed start that may be off is not trusted")]
#[test_case("live_weights"; "weights that fall with load are no sizes")]
#[test_case("client_leaves"; "a client that leaves is owed nothing")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let mut player: Option<Player> = None;
    for line in text.lines() {
        let statement = line.split('#').next().unwrap_or_default();
        let words: Vec<&str> = statement.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["settings", options @ ..] => player = Some(Player::start(notation::settings(options))),
            words => player.as_mut().expect("a scenario begins with settings").play(words),
        }
    }
    assert!(player.is_some(), "{path} has no settings");
}
