//! Which state each task of a job is in.

use super::ranges::RangeSet;
use crate::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// The tasks of a job by state. Each task is done, waiting or active; the running ones are
/// a part of the active ones.
#[derive(Debug)]
pub(super) struct TaskStates {
    count: u32,
    done: RangeSet,
    waiting: RangeSet,
    /// The machine of each active task.
    active: BTreeMap<u32, MachineId>,
    /// Active tasks that a heartbeat has shown running.
    running: BTreeSet<u32>,
}

impl TaskStates {
    /// All tasks wait.
    pub(super) fn new(count: u32) -> TaskStates {
        TaskStates {
            count,
            done: RangeSet::default(),
            waiting: RangeSet::full(count),
            active: BTreeMap::new(),
            running: BTreeSet::new(),
        }
    }

    /// Records a finished task; false if it was known, or is no task of the job.
    pub(super) fn finish(&mut self, index: u32) -> bool {
        self.clear_active(index);
        self.waiting.remove(index);
        index < self.count && self.done.insert(index)
    }

    /// Records finished tasks as an earlier owner stored them. Its range may exceed the job.
    pub(super) fn restore_done(&mut self, tasks: Range<u32>) {
        let tasks = tasks.start..tasks.end.min(self.count);
        self.done.insert_range(tasks.clone());
        for index in tasks {
            self.waiting.remove(index);
        }
    }

    /// The attempt ended without a result: the task waits again.
    pub(super) fn requeue(&mut self, index: u32) {
        self.clear_active(index);
        if index < self.count && !self.done.contains(index) {
            self.waiting.insert(index);
        }
    }

    /// The task is being started on a machine.
    pub(super) fn start(&mut self, index: u32, machine: MachineId) {
        self.waiting.remove(index);
        self.active.insert(index, machine);
    }

    /// A heartbeat has shown the task running.
    pub(super) fn mark_running(&mut self, index: u32) {
        if self.active.contains_key(&index) {
            self.running.insert(index);
        }
    }

    fn clear_active(&mut self, index: u32) {
        self.active.remove(&index);
        self.running.remove(&index);
    }

    /// Finished tasks.
    pub(super) fn done(&self) -> &RangeSet {
        &self.done
    }

    /// Tasks that are neither done nor on a machine.
    pub(super) fn waiting(&self) -> &RangeSet {
        &self.waiting
    }

    /// The machine of each task that is on one.
    pub(super) fn active(&self) -> &BTreeMap<u32, MachineId> {
        &self.active
    }

    /// How many tasks run.
    pub(super) fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// How many tasks are not done.
    pub(super) fn unfinished_count(&self) -> u32 {
        self.count - self.done.len()
    }

    /// Whether every task is done.
    pub(super) fn is_all_done(&self) -> bool {
        self.done.len() == self.count
    }
}
