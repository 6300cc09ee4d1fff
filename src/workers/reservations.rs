//! Capacity of a machine that is reserved or held for jobs.
//!
//! A reservation is made for a job when other tasks are preempted for the job, and expires. A hold
//! keeps all free capacity of the machine for the first job in the queue.

use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::JobId;

/// Capacity that was freed for a job by preempting tasks of other jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The job for which the capacity is reserved.
    pub job: JobId,
    /// The request of one task of the job.
    pub request: Resources,
    /// Number of tasks for which capacity is reserved.
    pub count: u32,
    /// Instant at which the reservation expires.
    pub until: Micros,
}

impl Reservation {
    /// Returns the reserved capacity for all of the tasks together.
    pub fn resources(&self) -> Resources {
        self.request.scale(f64::from(self.count))
    }
}

/// The capacity of a machine that is reserved or held for jobs.
#[derive(Debug, Default)]
pub struct Reservations {
    /// The reservations, at most one for each job.
    reserved: Vec<Reservation>,
    /// The job at the head of the queue for which free capacity is held.
    held_for: Option<JobId>,
}

impl Reservations {
    /// Returns the reservations that have not expired, in the order in which they were made.
    pub fn active(&self, now: Micros) -> impl Iterator<Item = &Reservation> {
        self.reserved
            .iter()
            .filter(move |reservation| reservation.until > now)
    }

    /// Whether there is a reservation for a job, expired or not.
    pub fn has_any_for(&self, job: &JobId) -> bool {
        self.reserved
            .iter()
            .any(|reservation| reservation.job == *job)
    }

    fn of_job(&mut self, job: &JobId) -> Option<&mut Reservation> {
        self.reserved
            .iter_mut()
            .find(|reservation| reservation.job == *job)
    }

    /// Adds a reservation. If the job has one already, adds the number of tasks to it and replaces
    /// its expiry.
    pub fn add(&mut self, added: Reservation) {
        match self.of_job(&added.job) {
            Some(reservation) => {
                reservation.count += added.count;
                reservation.until = added.until;
            }
            None => self.reserved.push(added),
        }
    }

    /// Records that a task of a job starts, which uses one task's part of the job's reservation.
    /// Removes all reservations that are used up or have expired.
    pub fn consume(&mut self, job: &JobId, now: Micros) {
        if let Some(reservation) = self.of_job(job) {
            reservation.count = reservation.count.saturating_sub(1);
        }
        self.reserved
            .retain(|reservation| reservation.count > 0 && reservation.until > now);
    }

    /// Returns the job for which free capacity is held; `None` if there is none.
    pub fn held_for(&self) -> Option<&JobId> {
        self.held_for.as_ref()
    }

    /// Holds free capacity for a job.
    pub fn hold_for(&mut self, job: JobId) {
        self.held_for = Some(job);
    }

    /// Stops holding free capacity for a job.
    pub fn release_hold(&mut self) {
        self.held_for = None;
    }
}
