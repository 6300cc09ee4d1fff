//! What teams use on the machines of a partition, and how heavy that makes them.

use super::{Resources, actual_quota, endowment, static_heaviness};
use std::collections::BTreeMap;

/// What a machine's attempts request, in all and by team.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Load {
    /// What all attempts request together.
    pub summed: Resources,
    /// What each team's attempts request.
    pub teams: Vec<(usize, Resources)>,
    /// Without a heartbeat since a failover, or with attempts of jobs that are not known: it
    /// may hold anything, of any team.
    pub unknown: bool,
}

impl Load {
    /// Adds an attempt.
    pub fn take(&mut self, team: usize, request: Resources) {
        self.summed += request;
        match self.teams.iter_mut().find(|(other, _)| *other == team) {
            Some((_, sum)) => *sum += request,
            None => self.teams.push((team, request)),
        }
    }
}

/// One team's usage.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TeamUsage {
    /// What counts against its limit.
    pub used: Resources,
    /// What its running tasks are endowed with.
    pub endowed: Resources,
}

/// The usage of a partition's teams, kept up to date machine by machine, so that no
/// decision iterates over the fleet to compute a team's heaviness.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsageByTeam {
    teams: BTreeMap<usize, TeamUsage>,
}

impl UsageByTeam {
    /// Of these teams, with nothing used.
    pub fn new(teams: &[usize]) -> Self {
        UsageByTeam {
            teams: teams
                .iter()
                .map(|team| (*team, TeamUsage::default()))
                .collect(),
        }
    }

    /// Adds what is on a machine.
    pub fn add(&mut self, load: &Load, capacity: Resources) {
        self.adjust(load, capacity, 1.0);
    }

    /// Takes away what was on a machine.
    pub fn remove(&mut self, load: &Load, capacity: Resources) {
        self.adjust(load, capacity, -1.0);
    }

    fn adjust(&mut self, load: &Load, capacity: Resources, sign: f64) {
        if load.unknown {
            // After a failover, what is on a silent machine counts as the worst
            // case for each team, or its limit and its heaviness would be off.
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

    /// One team's usage.
    pub fn of(&self, team: usize) -> TeamUsage {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Equations 2 to 4: the sum over the team's tasks, less its actual quota.
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
