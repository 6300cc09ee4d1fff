//! The states of a job's tasks.

use super::ranges::RangeSet;
use crate::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// The tasks of a job by state. Each task is either done, waiting or active. Running tasks are a
/// subset of the active ones.
#[derive(Debug)]
pub(super) struct TaskStates {
    /// Number of tasks of the job.
    count: u32,
    /// Finished tasks.
    done: RangeSet,
    /// Tasks that are neither done nor on a machine.
    waiting: RangeSet,
    /// The machine of each active task.
    active: BTreeMap<u32, MachineId>,
    /// Active tasks that a heartbeat has shown running.
    running: BTreeSet<u32>,
}

impl TaskStates {
    /// Creates the state in which all tasks are waiting.
    pub(super) fn new(count: u32) -> TaskStates {
        TaskStates {
            count,
            done: RangeSet::default(),
            waiting: RangeSet::full(count),
            active: BTreeMap::new(),
            running: BTreeSet::new(),
        }
    }

    /// Records that a task finished. Returns `false` if the task was done already or if the job has
    /// no such task.
    pub(super) fn finish(&mut self, index: u32) -> bool {
        self.clear_active(index);
        self.waiting.remove(index);
        index < self.count && self.done.insert(index)
    }

    /// Restores finished tasks that an earlier owner stored. Indexes that the job does not have are
    /// ignored.
    pub(super) fn restore_done(&mut self, tasks: Range<u32>) {
        let tasks = tasks.start..tasks.end.min(self.count);
        self.done.insert_range(tasks.clone());
        for index in tasks {
            self.waiting.remove(index);
        }
    }

    /// Records that the attempt of a task ended without a result. The task waits again, unless it
    /// is done.
    pub(super) fn requeue(&mut self, index: u32) {
        self.clear_active(index);
        if index < self.count && !self.done.contains(index) {
            self.waiting.insert(index);
        }
    }

    /// Records that a task is being started on a machine.
    pub(super) fn start(&mut self, index: u32, machine: MachineId) {
        self.waiting.remove(index);
        self.active.insert(index, machine);
    }

    /// Records that a heartbeat has shown a task running. Has no effect if the task is not active.
    pub(super) fn mark_running(&mut self, index: u32) {
        if self.active.contains_key(&index) {
            self.running.insert(index);
        }
    }

    fn clear_active(&mut self, index: u32) {
        self.active.remove(&index);
        self.running.remove(&index);
    }

    /// Returns the finished tasks.
    pub(super) fn done(&self) -> &RangeSet {
        &self.done
    }

    /// Returns the tasks that are neither done nor on a machine.
    pub(super) fn waiting(&self) -> &RangeSet {
        &self.waiting
    }

    /// Returns the machine of each active task.
    pub(super) fn active(&self) -> &BTreeMap<u32, MachineId> {
        &self.active
    }

    /// Returns the number of running tasks.
    pub(super) fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of tasks that are not done.
    pub(super) fn unfinished_count(&self) -> u32 {
        self.count - self.done.len()
    }

    /// Whether every task is done.
    pub(super) fn is_all_done(&self) -> bool {
        self.done.len() == self.count
    }
}
