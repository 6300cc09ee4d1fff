//! Which running tasks are moved home after their zone is back: only where more is gained
//! than lost, only what can save or has not begun, and under a budget for each team.

use crate::settings::HomecomingSettings;
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
    fn may_move(&self, settings: &HomecomingSettings) -> bool {
        let keeps_its_work = self.saves || !self.begun;
        keeps_its_work && self.gain > 0.0 && self.gain >= settings.least_gain * self.loss
    }
}

/// Chooses what to move now, the largest gain first. `moving` is how many tasks of each team
/// are on their way already: they count against the team's budget.
pub fn choose<K>(
    tasks: Vec<EvacuatedTask<K>>,
    moving: &BTreeMap<usize, u32>,
    settings: &HomecomingSettings,
) -> Vec<K> {
    if !settings.move_running {
        return Vec::new();
    }
    let mut worth: Vec<EvacuatedTask<K>> =
        tasks.into_iter().filter(|t| t.may_move(settings)).collect();
    let net = |t: &EvacuatedTask<K>| t.gain - t.loss;
    worth.sort_by(|a, b| net(b).total_cmp(&net(a)));
    let mut used = moving.clone();
    let mut chosen = Vec::new();
    for task in worth {
        let of_team = used.entry(task.team).or_default();
        if *of_team < settings.tasks_per_team {
            *of_team += 1;
            chosen.push(task.key);
        }
    }
    chosen
}
