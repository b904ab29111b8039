//! Runs the scenarios of this folder; `README.md` in the same folder describes their notation.

mod notation;
mod runner;
#[path = "../support/mod.rs"]
mod support;

use runner::ScenarioRunner;
use test_case::test_case;

#[test_case("placement"; "placement follows scores, zones, groups and sizes, and breaks ties at random")]
#[test_case("rebalancing"; "rebalancing migrates one connection at a time")]
#[test_case("smoothing"; "the score includes the smoothed reported load")]
#[test_case("retries"; "a failed attempt is retried on another host, within limits")]
#[test_case("non_idempotent"; "a non-idempotent call never runs twice")]
#[test_case("prior_attempt"; "a prior attempt restricts where a call may run")]
#[test_case("keyed"; "a keyed call is retried only where its repeats are recognised")]
#[test_case("waiting_queue"; "waiting calls get a host or are answered before their deadline")]
#[test_case("drain"; "a draining host gets no new calls")]
#[test_case("slow_start"; "a cold host is not overloaded")]
#[test_case("slow_start_surge"; "a surge does not overload the only host, which is cold")]
#[test_case("slow_start_large_fleet"; "nodes of a large fleet share the budget of a cold host")]
#[test_case("score_offset"; "nodes of a large fleet begin with different hosts")]
#[test_case("slow_start_refill"; "nodes of a large fleet fill a cold host, which they assume to be empty")]
#[test_case("readmission"; "a large fleet that lost hosts readmits only as many clients as it can carry")]
#[test_case("endpoint_watch_spread"; "nodes of a large fleet spread their requests for the endpoint list")]
#[test_case("overload_penalty"; "the overload penalty lasts longer on hosts without own connections")]
#[test_case("affinity"; "calls of a group go to homes that are the same at all nodes")]
#[test_case("waiting_for_home"; "calls of a group wait for a home while hosts are closed")]
#[test_case("rejecting_fleet"; "not every waiting call is tried at every rejecting host")]
#[test_case("probabilistic_shedding"; "a share below one connection is shed at random")]
#[test_case("setup_limit"; "the setup limit adapts, and calls that would be too late are answered at once")]
#[test_case("returning_clients"; "returning clients do not raise the budget of a cold host")]
#[test_case("ejection"; "a host that fails fast is ejected until probes succeed")]
#[test_case("panic_mode"; "ejections are ignored while most hosts are ejected")]
#[test_case("broken_connections"; "a host whose connections break at once is ejected and its limit recovers")]
#[test_case("reject_backoff"; "the backoff after rejects grows with each reject")]
#[test_case("overload"; "an overloaded host sheds some connections and gets no new ones")]
#[test_case("load_cache"; "the load of a returning client is remembered")]
#[test_case("timers"; "timers of the waiting queue do not multiply")]
#[test_case("endpoint_watch"; "failed requests for the endpoint list are repeated with growing delays")]
#[test_case("probe_times"; "without message times, slow answers to probes show overload")]
#[test_case("failed_probes"; "a host in service that fails probes is ejected")]
#[test_case("slow_setups"; "without message times, slow setups show overload")]
#[test_case("displaced_clients"; "displaced clients relax load limits and the cost of the other zone")]
#[test_case("last_connection_breaks"; "a host whose last connection broke gets calls again")]
#[test_case("revenue_per_load"; "waiting calls are placed by revenue per load")]
#[test_case("process_handover"; "the next process of a node continues from the snapshot of the previous one")]
#[test_case("shedding_by_revenue"; "connections of low revenue per load are shed first in a closed fleet")]
#[test_case("stalled_host"; "a stalled host sheds its connections but keeps its load limit")]
#[test_case("retry_budget"; "retries stay within the retry budget")]
#[test_case("start_uncertainty"; "a listed start that may be inaccurate does not make a host warm")]
#[test_case("live_weights"; "weights that fall with load are not taken for sizes")]
#[test_case("client_leaves"; "a client that left gets no answer, and its attempt is cancelled")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    let mut runner: Option<ScenarioRunner> = None;
    for line in text.lines() {
        let statement = line.split('#').next().unwrap_or_default();
        let words: Vec<&str> = statement.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["settings", options @ ..] => runner = Some(ScenarioRunner::start(notation::settings(options))),
            words => runner.as_mut().expect("a scenario must begin with a `settings` line").execute(words),
        }
    }
    assert!(runner.is_some(), "{path} has no `settings` line");
}
