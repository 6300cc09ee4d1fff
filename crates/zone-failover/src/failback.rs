//! Selects the evacuated tasks to move back after their zone has recovered.
//!
//! A task is moved only if that gains sufficiently more than it costs, and only if the task can
//! save a checkpoint or has not started yet. Each team has a budget of tasks that may be moved at
//! the same time.

use crate::settings::FailbackSettings;
use std::collections::BTreeMap;

/// A task of an evacuated job that runs, or is about to run, outside its original zone.
#[derive(Debug, Clone, PartialEq)]
pub struct EvacuatedTask<K> {
    /// The caller's identifier of the task.
    pub key: K,
    /// Index of the task's team in the settings.
    pub team: usize,
    /// Whether the task has started to run.
    pub has_started: bool,
    /// Whether the task saves checkpoints.
    pub saves_checkpoints: bool,
    /// Amount of money by which the remaining run is cheaper in the original zone.
    pub gain: f64,
    /// Cost of the move in money: saving a checkpoint, starting again, and repeating lost work.
    pub loss: f64,
}

impl<K> EvacuatedTask<K> {
    /// Returns whether the task keeps its progress when it is moved, and gains enough by the move.
    fn may_move(&self, settings: &FailbackSettings) -> bool {
        let keeps_progress = self.saves_checkpoints || !self.has_started;
        keeps_progress && self.gain > 0.0 && self.gain >= settings.min_gain * self.loss
    }
}

/// Selects the tasks to move now, in the order of their net gain, the largest first.
///
/// `moving` holds the number of tasks of each team that are already being moved. They count against
/// the team's budget.
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
    let mut moving = moving.clone();
    let mut chosen = Vec::new();
    for task in candidates {
        let moving_of_team = moving.entry(task.team).or_default();
        if *moving_of_team < settings.tasks_per_team {
            *moving_of_team += 1;
            chosen.push(task.key);
        }
    }
    chosen
}
