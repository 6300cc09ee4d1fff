//! Whether a job may use capacity that is held for another job.
//!
//! A hold has no end of its own: it lasts until the job that it is for fits. A job within its team's
//! guarantee therefore waits for a bounded time only beside capacity that is held for work which is not
//! guaranteed, or which has a lower priority. A hold for a starved job within its team's guarantee
//! binds all others: without it, a large job might never start.

use super::{SchedulingSnapshot, is_starved};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::JobId;
use crate::jobs::{Job, Priority};
use crate::settings::Team;

/// Longest time for which a job within its team's guarantee waits beside capacity that is held for
/// work that it goes before.
const MAX_WAIT_BESIDE_HOLD: Micros = Micros::from_millis(45_000);

/// The holds that bind a job.
pub(super) struct HoldRule<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    usage: &'s UsageByTeam,
    /// Priority of the job.
    priority: Priority,
    /// Whether the job has waited long enough, within its team's guarantee, to go before holds.
    goes_before_holds: bool,
}

impl<'s, 'a> HoldRule<'s, 'a> {
    /// Decides for the next task of a job. `usage` includes the tasks that the pass has placed.
    pub(super) fn of(
        snapshot: &'s SchedulingSnapshot<'a>,
        usage: &'s UsageByTeam,
        job: &Job,
    ) -> Self {
        let waiting_since = job.eligible_since().max(job.last_start_at);
        let waited = snapshot.wall_clock.since(waiting_since);
        HoldRule {
            goes_before_holds: waited >= MAX_WAIT_BESIDE_HOLD
                && is_guaranteed(snapshot, usage, job),
            priority: job.effective_priority(),
            snapshot,
            usage,
        }
    }

    /// Whether the job may use capacity that is held for the job `holder`.
    pub(super) fn may_use_held(&self, holder: &JobId) -> bool {
        self.goes_before_holds && !self.is_bound_by(holder)
    }

    /// Whether a hold for the job `holder` binds even jobs that have waited long.
    fn is_bound_by(&self, holder: &JobId) -> bool {
        let Some(holder) = self.snapshot.jobs.get(holder) else {
            return false;
        };
        let goes_first = holder.effective_priority() >= self.priority
            || is_starved(holder, self.snapshot.wall_clock);
        goes_first && is_guaranteed(self.snapshot, self.usage, holder)
    }
}

/// Whether one more task of the job is within its team's guarantee.
pub(super) fn is_guaranteed(
    snapshot: &SchedulingSnapshot<'_>,
    usage: &UsageByTeam,
    job: &Job,
) -> bool {
    let team = &snapshot.settings.platform.teams[job.team];
    fits_guarantee(team, usage.of(job.team).used, job.desc.request())
}

/// Whether a team that uses `used` stays within its guarantee with one more request. Memory is not
/// guaranteed and has no bound here.
pub(super) fn fits_guarantee(team: &Team, used: Resources, request: Resources) -> bool {
    let mut after = used;
    after += request;
    let guarantee = team.guarantee();
    let bound = Resources::new(guarantee.cores, guarantee.gpus, f64::INFINITY);
    after.fits_in(&bound)
}
