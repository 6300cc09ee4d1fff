//! The endpoint that accepts jobs.
//!
//! A submission is idempotent, with the job's id as its idempotency key. If the job was accepted
//! before, every controller answers a repeated submission with the state of that job. The answer
//! does not depend on whether the job could be accepted now, given the current machine types,
//! the owner of the team's partition and the state of the store.

use super::answers::{ApiError, STORE_UNREACHABLE, UserAnswer};
use super::channels::TeamPartition;
use super::context::{ApiContext, MAX_WRITE_ATTEMPTS, UNREADABLE_BODY, read_body};
use super::read_index::JobLookup;
use crate::clock::wall_clock_now;
use crate::ids::{JobId, Revision};
use crate::jobs::{EndedRecord, JobDesc, JobRecord, JobState, UnsatisfiableJob};
use crate::partitions::FormatLevel;
use crate::store::{self, Compare, Mutation, Reply, keys};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use std::time::Duration;

/// Maximum time for which a job is looked up before its submission is refused as unavailable.
/// While the store is reachable, its reads take less time than this.
pub(super) const REPEAT_LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to wait for the cache to receive a partition's new owner before the write is retried.
const OWNER_CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Handler of `POST /v1/jobs`.
pub(super) struct SubmitHandler(pub(super) ApiContext);

#[handler]
impl SubmitHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let answer = match read_body(request).await {
            Some(body) => self.0.submit(&body).await,
            None => UserAnswer::Rejected(ApiError::Malformed(UNREADABLE_BODY.into())),
        };
        answer.render(response);
    }
}

/// The outcome of writing the record of a new job.
enum WriteOutcome {
    /// The record was written.
    Accepted,
    /// The submission is a repeat: the job has ended.
    AlreadyEnded,
    /// The submission is most likely a repeat: the job's record existed at the time of the write.
    AlreadyAccepted,
    /// The partition's owner record changed after the cached revision.
    OwnerChanged,
    /// The record may have been written or not.
    Indeterminate,
}

impl ApiContext {
    /// Accepts a job, or answers a repeated submission with the state of its job.
    pub(super) async fn submit(&self, body: &[u8]) -> UserAnswer {
        let job = match JobDesc::parse(body) {
            Ok(job) => job,
            Err(refusal) => return UserAnswer::rejected_submission(refusal),
        };
        match self.accept(&job).await {
            Ok(answer) => answer,
            Err(refusal) => self.answer_unless_known(&job.id, refusal).await,
        }
    }

    /// Returns the answer if the job was accepted, now or before.
    ///
    /// # Errors
    ///
    /// The refusal, if the job cannot be accepted. The submission may still be a repeat of an
    /// accepted one.
    async fn accept(&self, job: &JobDesc) -> Result<UserAnswer, UserAnswer> {
        self.check_dependencies(job).await?;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let team = self.admit(job)?;
            match self.write_job(job, team).await {
                WriteOutcome::Accepted => {
                    return Ok(UserAnswer::Job {
                        status: StatusCode::CREATED,
                        id: job.id.clone(),
                        state: JobState::Pending,
                        counts: None,
                    });
                }
                WriteOutcome::AlreadyEnded => return Ok(self.answer_ended(&job.id).await),
                WriteOutcome::AlreadyAccepted => match self.look_up_job(&job.id).await {
                    // The job ended during the lookup: the next write conflicts with its ended
                    // record.
                    JobLookup::NotFound => {}
                    found => return Ok(UserAnswer::known_job(found, &job.id)),
                },
                WriteOutcome::OwnerChanged => {
                    tokio::time::sleep(OWNER_CHANGE_RETRY_INTERVAL).await;
                }
                WriteOutcome::Indeterminate => return Err(STORE_UNREACHABLE),
            }
        }
        Err(UserAnswer::Unavailable(
            "the owner of the team's partition is changing; retry",
        ))
    }

    /// Returns the partition of the job's team, or the refusal if the job cannot be admitted.
    fn admit(&self, job: &JobDesc) -> Result<TeamPartition, UserAnswer> {
        let view = self.channels.view.borrow().clone();
        let Some(machine_types) = &view.types else {
            return Err(UserAnswer::Unavailable("machine types are not known yet"));
        };
        job.admissible(&self.settings, machine_types)
            .map_err(UserAnswer::rejected_submission)?;
        let team = self.settings.team(&job.team);
        team.and_then(|team| view.teams.get(team))
            .copied()
            .ok_or(STORE_UNREACHABLE)
    }

    /// Writes the record of a new job, unless the job was accepted before.
    async fn write_job(&self, job: &JobDesc, team: TeamPartition) -> WriteOutcome {
        let record = JobRecord {
            desc: job.clone(),
            accepted_at: wall_clock_now(),
            accepted_term: team.term,
        };
        let owner_key = keys::partition_owner(team.partition);
        let compares = vec![
            Compare::new(keys::job(&job.id), Revision(0)),
            Compare::new(keys::ended(&job.id), Revision(0)),
            // The record names the term of the partition's current grant, so the grant must not
            // have changed. By that term, a later owner knows whether an earlier owner can have
            // started the job.
            Compare::new(owner_key.clone(), team.owner_revision),
        ];
        let request = store::Request::CompareAndSwap {
            compares,
            mutations: vec![Mutation::put(keys::job(&job.id), &record)],
        };
        match self.execute(request).await {
            Reply::Committed(_) => WriteOutcome::Accepted,
            Reply::Conflict(failed) if failed.contains(&keys::ended(&job.id)) => {
                WriteOutcome::AlreadyEnded
            }
            Reply::Conflict(failed) if failed.iter().any(|key| *key != owner_key) => {
                WriteOutcome::AlreadyAccepted
            }
            Reply::Conflict(_) => WriteOutcome::OwnerChanged,
            _ => WriteOutcome::Indeterminate,
        }
    }

    /// Returns the answer to a repeated submission of a job that has ended. The record of an ended
    /// job never changes, so no linearizable lookup is needed.
    async fn answer_ended(&self, id: &JobId) -> UserAnswer {
        let key = keys::ended(id);
        match self.execute(store::Request::Get { key }).await {
            Reply::Value(row) => EndedRecord::read(&row).map_or(STORE_UNREACHABLE, |record| {
                UserAnswer::ended_job(&record, id)
            }),
            _ => STORE_UNREACHABLE,
        }
    }

    /// Checks that all dependencies of a job were accepted, by any controller, and that every
    /// controller understands jobs with dependencies.
    ///
    /// # Errors
    ///
    /// The refusal, if a check fails or cannot be made now.
    async fn check_dependencies(&self, job: &JobDesc) -> Result<(), UserAnswer> {
        if job.dependencies.is_empty() {
            return Ok(());
        }
        // A job that is too large to be recorded is rejected before any of its dependencies is
        // looked up, however many it has.
        job.recordable(&self.settings)
            .map_err(UserAnswer::rejected_submission)?;
        if self.channels.view.borrow().format < FormatLevel::DEPENDENCIES {
            let reason = "not every controller supports jobs with dependencies (hinges) yet; retry";
            return Err(UserAnswer::Unavailable(reason));
        }
        for id in &job.dependencies {
            match self.was_accepted(id).await {
                Some(true) => {}
                Some(false) => {
                    let refusal = UnsatisfiableJob::UnknownDependency(id.clone());
                    return Err(UserAnswer::rejected_submission(refusal));
                }
                None => return Err(STORE_UNREACHABLE),
            }
        }
        Ok(())
    }

    /// Returns whether a job was accepted, or `None` if the store cannot be read now.
    ///
    /// The records are read from the store, because the cache may lag behind what another
    /// controller has just accepted. The live record is read before the ended one: jobs only
    /// move from live to ended, so no job is missed.
    async fn was_accepted(&self, id: &JobId) -> Option<bool> {
        for key in [keys::job(id), keys::ended(id)] {
            match self.execute(store::Request::Get { key }).await {
                Reply::Value(_) => return Some(true),
                Reply::NotFound => {}
                _ => return None,
            }
        }
        Some(false)
    }

    /// Returns the answer to a submission that cannot be accepted: the state of the job if it was
    /// accepted before, otherwise the refusal. Submissions are idempotent, so a repeat must not
    /// be refused.
    async fn answer_unless_known(&self, id: &JobId, refusal: UserAnswer) -> UserAnswer {
        let lookup = match refusal {
            // A temporary refusal is not delayed by a slow lookup, because the user retries.
            UserAnswer::Unavailable(_) => {
                tokio::time::timeout(REPEAT_LOOKUP_TIMEOUT, self.look_up_job(id)).await
            }
            // A permanent rejection is sent only once the job is known not to have been
            // accepted.
            _ => Ok(self.look_up_job(id).await),
        };
        match lookup {
            Ok(JobLookup::NotFound) | Err(_) => refusal,
            Ok(found) => UserAnswer::known_job(found, id),
        }
    }
}
