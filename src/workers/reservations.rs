//! Capacity of a machine that is kept for jobs.

use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::JobId;

/// Capacity that was freed for a job by preempting others.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The job that the capacity is kept for.
    pub job: JobId,
    /// What one of its tasks requests.
    pub request: Resources,
    /// How many of its tasks it is kept for.
    pub count: u32,
    /// Kept until then.
    pub until: Micros,
}

impl Reservation {
    /// What it keeps for all of its tasks.
    pub fn resources(&self) -> Resources {
        self.request.scale(f64::from(self.count))
    }
}

/// The capacity of a machine that is kept for jobs.
#[derive(Debug, Default)]
pub struct Reservations {
    /// At most one for each job.
    reserved: Vec<Reservation>,
    /// The job first in the queue for which free capacity is held.
    held_for: Option<JobId>,
}

impl Reservations {
    /// Those that have not expired, in the order in which they were made.
    pub fn active(&self, now: Micros) -> impl Iterator<Item = &Reservation> {
        self.reserved
            .iter()
            .filter(move |reservation| reservation.until > now)
    }

    /// Whether anything was reserved for a job, expired or not.
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

    /// Adds a reservation: to the one of the same job, if there is any, with the new expiry.
    pub fn add(&mut self, added: Reservation) {
        match self.of_job(&added.job) {
            Some(reservation) => {
                reservation.count += added.count;
                reservation.until = added.until;
            }
            None => self.reserved.push(added),
        }
    }

    /// A task of a job starts: its part of the reservation is used. Drops what is used up or
    /// has expired.
    pub fn consume(&mut self, job: &JobId, now: Micros) {
        if let Some(reservation) = self.of_job(job) {
            reservation.count = reservation.count.saturating_sub(1);
        }
        self.reserved
            .retain(|reservation| reservation.count > 0 && reservation.until > now);
    }

    /// The job for which free capacity is held.
    pub fn held_for(&self) -> Option<&JobId> {
        self.held_for.as_ref()
    }

    /// Holds free capacity for a job.
    pub fn hold_for(&mut self, job: JobId) {
        self.held_for = Some(job);
    }

    /// Holds free capacity for no job any more.
    pub fn release_hold(&mut self) {
        self.held_for = None;
    }
}
