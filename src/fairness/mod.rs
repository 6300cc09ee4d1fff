//! Heaviness: how much of the fleet a team's running tasks are endowed with,
//! less what it is entitled to (the paper's Section III-C, Equations 1 to 4).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::{AddAssign, Sub, SubAssign};

/// Amounts of each resource: of a task, a machine or the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor cores.
    pub cores: f64,
    /// Accelerators.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
}

/// Sums of decimal amounts may be off by this much.
const EPS: f64 = 1e-6;

impl Resources {
    /// These amounts.
    pub fn new(cores: f64, cards: f64, mem: f64) -> Self {
        Resources {
            cores,
            gpus: cards,
            memory_gb: mem,
        }
    }

    fn zip(self, o: Resources, f: impl Fn(f64, f64) -> f64) -> Resources {
        Resources::new(
            f(self.cores, o.cores),
            f(self.gpus, o.gpus),
            f(self.memory_gb, o.memory_gb),
        )
    }

    /// So many times as much of each.
    pub fn scale(self, by: f64) -> Resources {
        Resources::new(self.cores * by, self.gpus * by, self.memory_gb * by)
    }

    /// Whether there is enough of each.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cores <= room.cores + EPS
            && self.gpus <= room.gpus + EPS
            && self.memory_gb <= room.memory_gb + EPS
    }

    /// How many of these fit side by side.
    pub fn times_in(&self, room: &Resources) -> u32 {
        let n = |need: f64, have: f64| {
            if need <= EPS {
                f64::INFINITY
            } else {
                ((have + EPS) / need).floor()
            }
        };
        let least = n(self.cores, room.cores)
            .min(n(self.gpus, room.gpus))
            .min(n(self.memory_gb, room.memory_gb));
        least.clamp(0.0, 1e6) as u32
    }

    /// The larger amount of each.
    pub fn most(self, o: Resources) -> Resources {
        self.zip(o, f64::max)
    }

    /// The largest share of `whole` that any resource takes.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let q = self.zip(*whole, |a, b| if b > 0.0 { a / b } else { 0.0 });
        q.cores.max(q.gpus).max(q.memory_gb)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, o: Resources) {
        *self = self.zip(o, |a, b| a + b);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Resources) {
        *self = self.zip(o, |a, b| a - b);
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, o: Resources) -> Resources {
        self.zip(o, |a, b| a - b)
    }
}

/// Equation 1: a request times its machine's capacity over the machine's
/// summed requests, for each resource.
pub fn endowment(request: Resources, capacity: Resources, summed: Resources) -> Resources {
    let ratio = capacity.zip(summed, |c, s| if s > 0.0 { c / s } else { 0.0 });
    request.zip(ratio, |r, q| r * q)
}

/// Static heaviness `s`: the endowment's share of the fleet, summed over the
/// resources that the fleet has. It rises strictly with each of them.
pub fn static_heaviness(endowed: Resources, fleet: Resources) -> f64 {
    let share = endowed.zip(fleet, |e, f| if f > 0.0 { e / f } else { 0.0 });
    share.cores + share.gpus + share.memory_gb
}

/// Equation 3 with guarantees for quotas: the fleet's share that is
/// proportional to a team's guarantee; zero where nothing is guaranteed.
pub fn actual_quota(guarantee: Resources, fleet: Resources, guarantees: Resources) -> Resources {
    let ratio = fleet.zip(guarantees, |f, g| if g > 0.0 { f / g } else { 0.0 });
    guarantee.zip(ratio, |g, q| g * q)
}

/// Equation 4 with `d = 0` and `s' = s`: what each team's tasks on one machine
/// add to its heaviness, given the team's summed requests there.
pub fn machine_share(
    requests: Resources,
    capacity: Resources,
    summed: Resources,
    fleet: Resources,
) -> f64 {
    static_heaviness(endowment(requests, capacity, summed), fleet)
}

/// What a machine's attempts request, in all and by team.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Load {
    /// What all attempts request together.
    pub summed: Resources,
    /// What each team's attempts request.
    pub teams: Vec<(usize, Resources)>,
    /// Unreported since a failover, or with attempts of jobs that are not known: it
    /// may hold anything, of any team.
    pub unknown: bool,
}

impl Load {
    /// Adds an attempt.
    pub fn take(&mut self, team: usize, request: Resources) {
        self.summed += request;
        match self.teams.iter_mut().find(|(t, _)| *t == team) {
            Some((_, sum)) => *sum += request,
            None => self.teams.push((team, request)),
        }
    }
}

/// One team's sums.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TeamUsage {
    /// What counts against its limit.
    pub used: Resources,
    /// What its running tasks are endowed with.
    pub endowed: Resources,
}

/// The sums of a partition's teams, kept up to date machine by machine, so that no
/// decision walks over the fleet to weigh a team.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsageByTeam {
    teams: BTreeMap<usize, TeamUsage>,
}

impl UsageByTeam {
    /// Of these teams, with nothing used.
    pub fn new(teams: &[usize]) -> Self {
        UsageByTeam {
            teams: teams.iter().map(|t| (*t, TeamUsage::default())).collect(),
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
            let part = sign / self.teams.len().max(1) as f64;
            for team in self.teams.values_mut() {
                team.used += capacity.scale(sign);
                team.endowed += capacity.scale(part);
            }
            return;
        }
        for (t, request) in &load.teams {
            if let Some(team) = self.teams.get_mut(t) {
                team.used += request.scale(sign);
                team.endowed += endowment(*request, capacity, load.summed).scale(sign);
            }
        }
    }

    /// One team's sums.
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

#[cfg(test)]
mod tests;
