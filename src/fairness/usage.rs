//! Usage and heaviness of the teams of a partition.
//!
//! A team's usage is always the sum over the partition's machines. It is updated whenever the
//! load of a machine changes.

use super::{Resources, actual_quota, endowment, static_heaviness};
use std::collections::BTreeMap;

/// Resources that the attempts on a machine request, in total and by team.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Load {
    /// Sum of the requests of all attempts.
    pub summed: Resources,
    /// Sum of the requests of each team's attempts, by the team's index in the settings.
    pub teams: Vec<(usize, Resources)>,
    /// Whether the machine may hold attempts of any team up to its full capacity: it has sent no
    /// heartbeat since a failover, or has attempts of unknown jobs.
    pub unknown: bool,
}

impl Load {
    /// Adds the request of one attempt. A negative request subtracts it again.
    pub fn add_request(&mut self, team: usize, request: Resources) {
        self.summed += request;
        match self.teams.iter_mut().find(|(other, _)| *other == team) {
            Some((_, sum)) => *sum += request,
            None => self.teams.push((team, request)),
        }
    }
}

/// Usage of one team.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TeamUsage {
    /// Resources that count against the team's limit.
    pub used: Resources,
    /// Sum of the endowments of the team's running tasks.
    pub endowed: Resources,
}

/// Usage of the teams of a partition. It is updated with each change of a machine's load, so that
/// computing a team's heaviness does not iterate over the fleet.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsageByTeam {
    teams: BTreeMap<usize, TeamUsage>,
}

impl UsageByTeam {
    /// Creates the usage of `teams`, given by their indexes in the settings, with nothing used.
    pub fn new(teams: &[usize]) -> Self {
        UsageByTeam {
            teams: teams
                .iter()
                .map(|team| (*team, TeamUsage::default()))
                .collect(),
        }
    }

    /// Adds the load of a machine.
    pub fn add(&mut self, load: &Load, capacity: Resources) {
        self.adjust(load, capacity, 1.0);
    }

    /// Subtracts the load of a machine.
    pub fn remove(&mut self, load: &Load, capacity: Resources) {
        self.adjust(load, capacity, -1.0);
    }

    fn adjust(&mut self, load: &Load, capacity: Resources, sign: f64) {
        if load.unknown {
            // It is unknown whose attempts are on the machine, for example after a failover.
            // For each team's limit, the worst case counts: the team uses the whole machine.
            // For the heaviness, the teams share the machine equally. Without this, a team
            // could exceed its limit, and its heaviness would be wrong.
            let share = sign / self.teams.len().max(1) as f64;
            for usage in self.teams.values_mut() {
                usage.used += capacity.scale(sign);
                usage.endowed += capacity.scale(share);
            }
            return;
        }
        for (team, request) in &load.teams {
            if let Some(usage) = self.teams.get_mut(team) {
                usage.used += request.scale(sign);
                usage.endowed += endowment(*request, capacity, load.summed).scale(sign);
            }
        }
    }

    /// Returns the usage of one team. It is zero for a team of another partition.
    pub fn of(&self, team: usize) -> TeamUsage {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Returns a team's heaviness (Equations 2 to 4 of the paper): the static heaviness of the
    /// sum of its tasks' endowments, less that of its actual quota. `guarantee` is the team's
    /// guarantee, `guarantees` the sum of all teams' guarantees.
    pub fn heaviness(
        &self,
        team: usize,
        guarantee: Resources,
        guarantees: Resources,
        fleet: Resources,
    ) -> f64 {
        static_heaviness(self.of(team).endowed, fleet)
            - static_heaviness(actual_quota(guarantee, fleet, guarantees), fleet)
    }
}
