//! Effects of each command on the state.

mod hosts;
mod overrides;
mod releases;
mod units;
mod voters;

use super::{Command, CommandResult, Entry, Lease, LogStep, Refusal, RequestId, State, Unit, UnitState};
use crate::policy::FleetPolicy;

/// Number of results kept for repeated requests: more than operators and scripts send in the minutes during
/// which they retry.
const RESULTS_KEPT: usize = 128;

/// The outcome of a command: a text for operators, or the reason for refusing it.
type Outcome = Result<String, Refusal>;

impl State {
    /// Applies one step of the log and returns its result, if it is an entry.
    pub fn apply_step(&mut self, step: &LogStep) -> Option<CommandResult> {
        match step {
            LogStep::Entry(entry) => Some(self.apply(entry)),
            LogStep::Reconfigure(voter_slots) => {
                self.start_epoch(voter_slots.clone());
                None
            }
        }
    }

    /// Applies one entry and returns its result.
    pub fn apply(&mut self, entry: &Entry) -> CommandResult {
        self.applied += 1;
        if let Some(known) = entry.id.as_ref().and_then(|id| self.result_of(id)) {
            return known.clone();
        }
        let result = CommandResult::from(self.execute(&entry.command));
        if let Some(id) = &entry.id {
            self.remember_result(id, &entry.command, &result);
        }
        result
    }

    /// Keeps the result for repeats of the request. Refusals are not kept, since a repeated request may
    /// succeed later; only a refused release start is, so that a late repeat does not start it after all.
    fn remember_result(&mut self, id: &RequestId, command: &Command, result: &CommandResult) {
        let is_done = matches!(result, CommandResult::Done(_));
        if !is_done && !matches!(command, Command::StartRelease { .. }) {
            return;
        }
        self.results.push_back((id.clone(), result.clone()));
        if self.results.len() > RESULTS_KEPT {
            self.results.pop_front();
        }
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Bootstrap(policy) => self.bootstrap(policy),
            Command::Confirm => Ok("confirmed".into()),
            Command::Drain { unit } if !self.units.contains_key(unit) => self.drain_host(unit),
            Command::Drain { unit } => self.drain_unit(unit),
            Command::Override { unit, reason } => self.drain_beyond_limits(unit, reason),
            Command::Activate { unit } if !self.units.contains_key(unit) => self.activate_host(unit),
            Command::Activate { unit } => self.activate_unit(unit),
            Command::ConfirmDead { unit } => self.confirm_dead(unit),
            Command::UpdateHosts { updates } => self.update_hosts(updates),
            Command::MarkHostEmpty { host, lease } => self.mark_host_empty(host, *lease),
            Command::MarkHostReturned { host, lease } => self.mark_host_returned(host, *lease),
            Command::StartRelease { plan } => self.start_release(plan),
            Command::Halt { why } => self.halt_release(why),
            Command::Resume => self.resume_release(),
            Command::RollBack => self.roll_back(),
            Command::GrantTurn { release, unit } => self.grant_turn(*release, unit),
            Command::BeginDrain { unit, lease, nonce, call_counts } => {
                self.begin_drain(unit, *lease, *nonce, *call_counts)
            }
            Command::MarkServing { unit, lease, version } => self.mark_serving(unit, *lease, version),
            Command::MarkLost { unit } => self.mark_lost(unit),
            Command::AdvanceWave { release, wave } => self.advance_wave(*release, *wave),
            Command::ReplaceVoter { old, new } => self.replace_voter(old, new),
            // `Voter::take_decided` converts it to `LogStep::Reconfigure`, so it is never applied as an
            // entry.
            Command::Reconfigure { .. } => Err(Refusal::NotAnEntry),
            Command::LeaderStarted { voters } => self.record_voters(voters),
        }
    }

    fn bootstrap(&mut self, policy: &FleetPolicy) -> Outcome {
        if self.policy.is_some() {
            return Err(Refusal::AlreadyFounded);
        }
        // A unit that no voter has seen yet starts as lost. If it counted as serving, too many others could
        // be let out.
        let unseen =
            Unit { unit_state: UnitState::Serving, lost: true, term: 0, dead: false, version: String::new() };
        self.units = policy.units.keys().map(|name| (name.clone(), unseen.clone())).collect();
        self.policy = Some(policy.clone());
        Ok("founded".into())
    }

    fn new_lease(&mut self) -> Lease {
        let lease = Lease(self.next_lease);
        self.next_lease += 1;
        lease
    }
}
