//! What to start and to stop, and telling the machines.

use super::{Effect, OwnedPartition};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{AttemptId, MachineId, TaskId};
use crate::placement::{self, CandidateMachines, PassLimits, Placement, PlacementPass, Victim};
use crate::workers::{Attempt, AttemptKey, AttemptPhase, CommandRoute, DirectCommand};

/// After an attempt to connect failed.
pub(super) const DIRECT_AGAIN: Micros = Micros::from_millis(1_000);
/// Passes over the partition come no faster than this, and later the more they cost.
const PASS_GAP: Micros = Micros::from_millis(40);
const PASS_COST_US: u64 = 2;
/// This bounds one pass.
const MOST_STARTS: usize = 400;
/// How many jobs of a team are looked at: in a pass, and for one machine.
const PASS_REACH: usize = 400;
const REFILL_REACH: usize = 48;
const PREEMPT_GAP: Micros = Micros::from_millis(500);
/// Direct commands that are out at once.
const MOST_DIRECTS: usize = 48;

impl OwnedPartition {
    /// Decides over the whole partition what to start, if anything changed.
    pub(super) fn decide(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        if !self.pass_pending || now < self.next_pass || self.is_being_handed_back() {
            return;
        }
        self.pass_pending = false;
        let queues = placement::build_queues(&self.snapshot(now, wall_clock, fleet));
        let waiting = self
            .constrained
            .waiting(&self.snapshot(now, wall_clock, fleet), &queues);
        self.constrained.set_waiting(waiting);
        let snapshot = self.snapshot(now, wall_clock, fleet);
        let mut cost = 0;
        if !queues.is_empty() {
            let floor = CandidateMachines::of_partition(&snapshot);
            cost = floor.len();
            let placed = placement::run_pass(
                &snapshot,
                &queues,
                floor,
                PassLimits {
                    max_jobs_per_team: PASS_REACH,
                    max_placements: MOST_STARTS,
                },
            );
            cost += placed.machines_compared;
            self.pass_pending = placed.placements.len() >= MOST_STARTS;
            self.machines_compared += placed.machines_compared;
            self.hold(&placed);
            self.start(now, wall_clock, placed.placements, true);
        } else {
            self.hold(&PlacementPass::default());
        }
        self.queues = queues;
        self.next_pass = now + PASS_GAP + Micros(cost as u64 * PASS_COST_US);
        if now.since(self.last_preempt) >= PREEMPT_GAP && !self.queues.is_empty() {
            self.last_preempt = now;
            self.preempt(now, wall_clock, fleet);
        }
    }

    fn hold(&mut self, placed: &PlacementPass) {
        for id in std::mem::take(&mut self.held) {
            if let Some(m) = self.machines.get_mut(&id) {
                m.reservations.release_hold();
            }
        }
        let Some((job, ids)) = &placed.held else {
            return;
        };
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                m.reservations.hold_for(job.clone());
            }
        }
        self.held.clone_from(ids);
    }

    /// Room got free on a machine that is about to be answered: what comes next
    /// there is decided without a look at any other machine.
    pub(super) fn refill(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
        id: &MachineId,
    ) {
        if self.queues.is_empty() {
            return;
        }
        let snapshot = self.snapshot(now, wall_clock, fleet);
        let Some((id, _)) = self.machines.get_key_value(id) else {
            return;
        };
        let Some(floor) = CandidateMachines::of_machine(&snapshot, id) else {
            return;
        };
        let placed = placement::run_pass(
            &snapshot,
            &self.queues,
            floor,
            PassLimits {
                max_jobs_per_team: REFILL_REACH,
                max_placements: MOST_STARTS,
            },
        );
        self.machines_compared += placed.machines_compared;
        self.start(now, wall_clock, placed.placements, false);
    }

    fn start(&mut self, now: Micros, wall_clock: Micros, choices: Vec<Placement>, tell: bool) {
        for c in choices {
            self.counter += 1;
            let attempt = AttemptId::of(self.term, self.counter);
            let (Some(job), Some(m)) =
                (self.jobs.get_mut(&c.job), self.machines.get_mut(&c.machine))
            else {
                continue;
            };
            job.start(c.index, c.machine.clone());
            job.last_start_at = wall_clock;
            if job.is_failing() {
                // Until these have ended, no others of it are tried.
                job.back_off(now);
            }
            let t = Attempt::new(AttemptPhase::Launching, now, Some((job.team, &job.desc)));
            m.images.insert(job.desc.image_key());
            m.reservations.consume(&c.job, now);
            tracing::debug!(partition = %self.id, term = %self.term, job = %c.job, task = c.index, %attempt, machine = %c.machine, "start");
            let task = TaskId {
                job: c.job,
                index: c.index,
            };
            m.attempts.insert(AttemptKey { task, attempt }, t);
            self.update_usage(&c.machine);
            if tell {
                self.pending_commands.insert(c.machine);
            }
        }
    }

    /// Stops work for what found no room and comes before it.
    fn preempt(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        let preemption = placement::plan_preemption(&self.snapshot(now, wall_clock, fleet));
        self.machines_compared += preemption.machines_compared;
        for s in preemption.preemptions {
            let Some(m) = self.machines.get_mut(&s.machine) else {
                continue;
            };
            for Victim {
                key,
                grace_period_s,
            } in &s.victims
            {
                tracing::debug!(partition = %self.id, task = %key.task, attempt = %key.attempt, r#for = %s.reserve.job, "preempt");
                m.stop(*grace_period_s, |k| k == key);
            }
            self.pending_commands.insert(s.machine.clone());
            m.reservations.add(s.reserve);
        }
    }

    /// Commands to be sent straight to machines: what no answer carried, and the
    /// token to machines that have not seen it. A bounded number is out at a time.
    pub fn take_direct_commands(&mut self, now: Micros) -> Vec<Effect> {
        let mut out = Vec::new();
        if self.is_being_handed_back() {
            return out;
        }
        let heard_within = self.heard_within();
        let mut done = Vec::new();
        for id in &self.pending_commands {
            if self.directs_out + out.len() >= MOST_DIRECTS {
                break;
            }
            let Some(m) = self.machines.get_mut(id).filter(|m| m.is_active()) else {
                done.push(id.clone());
                continue;
            };
            // Once to learn the session, once under it; more would only pile up
            // behind a cut, and the machine's own next report does as well.
            let introduce = m.is_unconfirmed() && m.token_commands() <= 1;
            let reachable = m.has_no_command_in_transit()
                && m.last_contact_at()
                    .is_some_and(|h| now.since(h) < heard_within);
            let word = m.needs_direct_command()
                && (reachable && m.has_known_agent_epoch() || m.needs_probe());
            if !introduce && !word || m.spec.addr.is_empty() {
                if !m.has_direct_command_in_flight() {
                    done.push(id.clone());
                }
                continue;
            }
            if m.has_direct_command_in_flight() || now < m.next_direct_command_at() {
                continue;
            }
            m.record_direct_command_sent(introduce, now + DIRECT_GAP);
            // A direct command goes out under the token that was shown; orders only
            // to those whose picture counts.
            let orders = if reachable {
                m.commands(CommandRoute::Direct)
            } else {
                Vec::new()
            };
            let direct = DirectCommand {
                fencing_token: m.fencing_token(),
                agent_epoch: m.target_agent_epoch(),
                commands: orders,
            };
            out.push(Effect::SendDirectCommand(
                id.clone(),
                m.spec.addr.clone(),
                direct,
            ));
        }
        for id in done {
            self.pending_commands.remove(&id);
        }
        self.directs_out += out.len();
        out
    }
}

/// Between two direct commands to one machine.
const DIRECT_GAP: Micros = Micros::from_millis(150);
