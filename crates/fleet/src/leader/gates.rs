//! Gates that halt a release: lost units, units that stay out too long, and changed units that perform worse
//! than before and than unchanged units.

use super::units::UnitController;
use crate::context::Context;
use crate::policy::{Gates, UnitName};
use crate::state::{CallCounts, Cause, Release};
use crate::timing::ALIVE_MS;

/// Why a release must halt. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum GateFailure {
    #[error("{lost} units are lost unplanned, at most {most} may be")]
    Losses { lost: usize, most: u32 },
    #[error("{unit} has been out for {limit_s} s, the longest allowed")]
    OutTooLong { unit: UnitName, limit_s: u32 },
    #[error("{unit}: {now} calls are waiting, {before} before its change")]
    Waiting { unit: UnitName, now: u32, before: u32 },
    #[error("{unit}: {now} hosts are ejected, {before} before its change")]
    HostsDown { unit: UnitName, now: u32, before: u32 },
    #[error("{unit}: {failed} of 1000 calls fail, at most {most} may")]
    Failures { unit: UnitName, failed: i64, most: i64 },
    #[error("{unit}: {busy} of 1000 calls are rejected because of load, at most {most} may be")]
    Rejections { unit: UnitName, busy: i64, most: i64 },
}

/// Failed and rejected calls, per thousand calls.
#[derive(Clone, Copy, Default)]
struct Rates {
    failed: i64,
    busy: i64,
}

impl From<&CallCounts> for Rates {
    fn from(counts: &CallCounts) -> Rates {
        let per_thousand = |part: u32| i64::from(part) * 1_000 / i64::from(counts.calls.max(1));
        Rates { failed: per_thousand(counts.failed), busy: per_thousand(counts.busy) }
    }
}

/// The first gate that the release fails, if any.
pub(super) fn failed_gate(
    context: &Context,
    release: &Release,
    units: &UnitController,
) -> Option<GateFailure> {
    let gates = &release.plan.gates;
    let lost = context.state.unplanned_losses();
    if lost > gates.most_lost as usize {
        return Some(GateFailure::Losses { lost, most: gates.most_lost });
    }
    if let Some(unit) = unit_out_too_long(context, release, units) {
        return Some(GateFailure::OutTooLong { unit: unit.clone(), limit_s: release.plan.unit_limit_s });
    }
    let unchanged = mean_of_unchanged(context, release);
    release.done.iter().find_map(|changed| {
        let now = &context.alive(&changed.unit)?.heartbeat.call_counts;
        failed_gauge(gates, &changed.unit, now, &changed.call_counts)
            .or_else(|| failed_rate(gates, &changed.unit, now, &changed.call_counts, unchanged))
    })
}

fn unit_out_too_long<'a>(
    context: &Context,
    release: &Release,
    units: &'a UnitController,
) -> Option<&'a UnitName> {
    let limit_ms = u64::from(release.plan.unit_limit_s) * 1_000;
    let mut observed = units.observed().iter();
    let too_long = observed.find(|(_, observed)| {
        observed.unit_state.cause() == Some(Cause::Release(release.number))
            && context.now.ms_since(observed.since) >= limit_ms
    });
    too_long.map(|(name, _)| name)
}

/// The mean rates of the unchanged units. During an incident all units fail more calls than before, so
/// changed units are judged against the unchanged ones as well.
fn mean_of_unchanged(context: &Context, release: &Release) -> Rates {
    let gates = &release.plan.gates;
    let unchanged: Vec<Rates> = context
        .liveness
        .iter()
        .filter(|(name, unit)| !release.is_done(name) && context.now.ms_since(unit.alive_at) < ALIVE_MS)
        .map(|(_, unit)| &unit.heartbeat.call_counts)
        .filter(|counts| has_enough_calls(gates, counts))
        .map(Rates::from)
        .collect();
    if unchanged.is_empty() {
        return Rates::default();
    }
    let units = unchanged.len() as i64;
    Rates {
        failed: unchanged.iter().map(|rates| rates.failed).sum::<i64>() / units,
        busy: unchanged.iter().map(|rates| rates.busy).sum::<i64>() / units,
    }
}

fn has_enough_calls(gates: &Gates, counts: &CallCounts) -> bool {
    counts.calls >= gates.least_calls.max(1)
}

fn failed_gauge(
    gates: &Gates,
    unit: &UnitName,
    now: &CallCounts,
    before: &CallCounts,
) -> Option<GateFailure> {
    let exceeds = |now: u32, before: u32, most: Option<u32>| most.is_some_and(|most| now > before + most);
    if exceeds(now.waiting, before.waiting, gates.waiting) {
        let (now, before) = (now.waiting, before.waiting);
        return Some(GateFailure::Waiting { unit: unit.clone(), now, before });
    }
    if exceeds(now.hosts_down, before.hosts_down, gates.hosts_down) {
        let (now, before) = (now.hosts_down, before.hosts_down);
        return Some(GateFailure::HostsDown { unit: unit.clone(), now, before });
    }
    None
}

fn failed_rate(
    gates: &Gates,
    unit: &UnitName,
    now: &CallCounts,
    before: &CallCounts,
    unchanged: Rates,
) -> Option<GateFailure> {
    if !has_enough_calls(gates, now) {
        return None;
    }
    let Rates { failed, busy } = Rates::from(now);
    let before = Rates::from(before);
    let most_failed = before.failed.max(unchanged.failed) + i64::from(gates.failures_per_thousand);
    if failed > most_failed {
        return Some(GateFailure::Failures { unit: unit.clone(), failed, most: most_failed });
    }
    let most_busy = before.busy.max(unchanged.busy) + i64::from(gates.busy_per_thousand);
    if busy > most_busy {
        return Some(GateFailure::Rejections { unit: unit.clone(), busy, most: most_busy });
    }
    None
}
