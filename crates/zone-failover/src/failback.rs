//! Which running tasks are moved back after their zone has returned: only where more is gained
//! than lost, only what can save or has not begun, and under a budget for each team.

use crate::settings::FailbackSettings;
use std::collections::BTreeMap;

/// A task of an evacuated job that runs, or is about to run, away from home.
#[derive(Debug, Clone, PartialEq)]
pub struct EvacuatedTask<K> {
    /// What the caller knows it by.
    pub key: K,
    /// Its team's place in the settings.
    pub team: usize,
    /// It has begun to run.
    pub begun: bool,
    /// It can save what it has done.
    pub saves: bool,
    /// What the rest of its run costs less at home, in money.
    pub gain: f64,
    /// What moving it costs, in money: saving, starting again, work done twice.
    pub loss: f64,
}

impl<K> EvacuatedTask<K> {
    fn may_move(&self, settings: &FailbackSettings) -> bool {
        let keeps_its_work = self.saves || !self.begun;
        keeps_its_work && self.gain > 0.0 && self.gain >= settings.min_gain * self.loss
    }
}

/// Chooses what to move now, the largest gain first. `moving` is how many tasks of each team
/// are on their way already: they count against the team's budget.
pub fn choose<K>(
    tasks: Vec<EvacuatedTask<K>>,
    moving: &BTreeMap<usize, u32>,
    settings: &FailbackSettings,
) -> Vec<K> {
    if !settings.move_running {
        return Vec::new();
    }
    let mut candidates: Vec<EvacuatedTask<K>> = tasks
        .into_iter()
        .filter(|task| task.may_move(settings))
        .collect();
    let net_gain = |task: &EvacuatedTask<K>| task.gain - task.loss;
    candidates.sort_by(|left, right| net_gain(right).total_cmp(&net_gain(left)));
    let mut used = moving.clone();
    let mut chosen = Vec::new();
    for task in candidates {
        let of_team = used.entry(task.team).or_default();
        if *of_team < settings.tasks_per_team {
            *of_team += 1;
            chosen.push(task.key);
        }
    }
    chosen
}
