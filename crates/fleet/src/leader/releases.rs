//! Release controller: halts the running release, or proposes its next step.

use super::gates::failed_gate;
use super::proposals::{LeaderAction, RecentProposals};
use super::units::UnitController;
use crate::Timestamp;
use crate::context::Context;
use crate::state::{Command, Release, Unit, UnitState};

/// A wave with no units left to change.
struct ClearedWave {
    release: u64,
    wave: usize,
    since: Timestamp,
}

/// Watches the running release.
#[derive(Default)]
pub(super) struct ReleaseController {
    cleared: Option<ClearedWave>,
}

impl ReleaseController {
    /// Proposes to halt the release if it fails a gate, or else its next step.
    pub(super) fn control(
        &mut self,
        context: &Context,
        units: &UnitController,
        may_grant: bool,
        proposals: &mut RecentProposals,
    ) -> Option<LeaderAction> {
        let Some(release) = context.state.release.as_ref().filter(|release| release.is_running()) else {
            self.cleared = None;
            return None;
        };
        if let Some(failure) = failed_gate(context, release, units) {
            let halt = Command::Halt { why: failure.to_string() };
            return proposals.propose(context.now, format!("halt {}", release.number), halt);
        }
        if release.remaining_units().next().is_none() {
            return self.advance_wave(context, release, proposals);
        }
        if !may_grant {
            return None;
        }
        let can_go = |unit: &Unit| unit.unit_state == UnitState::Serving && !unit.lost;
        let unit =
            release.remaining_units().find(|name| context.state.units.get(*name).is_some_and(can_go))?;
        let command = Command::GrantTurn { release: release.number, unit: unit.clone() };
        proposals.propose(context.now, format!("grant {} {unit}", release.number), command)
    }

    /// Proposes the next wave once the current one has been watched for the plan's `watch_s`.
    fn advance_wave(
        &mut self,
        context: &Context,
        release: &Release,
        proposals: &mut RecentProposals,
    ) -> Option<LeaderAction> {
        let Release { number, wave, .. } = *release;
        let known = self.cleared.as_ref().filter(|known| known.release == number && known.wave == wave);
        let since = known.map_or(context.now, |known| known.since);
        self.cleared = Some(ClearedWave { release: number, wave, since });
        if context.now.ms_since(since) < u64::from(release.plan.watch_s) * 1_000 {
            return None;
        }
        let command = Command::AdvanceWave { release: number, wave };
        proposals.propose(context.now, format!("advance wave {number} {wave}"), command)
    }
}
