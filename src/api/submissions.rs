//! The endpoint that accepts jobs.
//!
//! A submission is an idempotent request: the job's id is its key. A repeat of a job that was
//! accepted before is answered with the state of that job, by whichever controller, and
//! whatever the machine types, the team's partition or the store are now.

use super::answers::{ApiError, STORE_UNREACHABLE, UserAnswer};
use super::context::{ApiContext, MAX_WRITE_ATTEMPTS, UNREADABLE_BODY, read_body};
use super::ports::TeamPartition;
use super::read_index::JobLookup;
use crate::clock::wall_clock_now;
use crate::ids::{JobId, Revision};
use crate::jobs::{EndedRecord, JobDesc, JobRecord, JobState, UnsatisfiableJob};
use crate::partitions::FormatLevel;
use crate::store::{self, Compare, Mutation, Reply, keys};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use std::time::Duration;

/// How long a job is looked up before its submission is refused for now: reads of the store
/// that come at all come sooner.
pub(super) const REPEAT_LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait for the cache to learn of a partition's new owner.
const OWNER_CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// `POST /v1/jobs`.
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

/// What the write of a job's record led to.
enum WriteOutcome {
    Accepted,
    /// A repeat: the job has ended.
    AlreadyEnded,
    /// A repeat, most likely: the job's record exists, or did at the write.
    AlreadyAccepted,
    /// The partition has another owner than the cache says.
    OwnerChanged,
    /// Whether the record was written is not known.
    Indeterminate,
}

impl ApiContext {
    /// Accepts a job, or answers the repeat of a submission with the state of its job.
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

    /// The answer to a job that was accepted now or before; an error if it can't be accepted
    /// and may be a repeat nevertheless.
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
                    // It ended during the lookup: the next write conflicts with its end.
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
            "the team's block is changing hands",
        ))
    }

    /// The partition of the job's team, if the job can run here at all.
    fn admit(&self, job: &JobDesc) -> Result<TeamPartition, UserAnswer> {
        let view = self.ports.view.borrow().clone();
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

    /// Writes the record of a new job.
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
            // Under this grant: a later owner knows whether an earlier one can have
            // started it.
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

    /// The answer to a repeat of a job that has ended: its record never changes, so it needs
    /// no linearizable lookup.
    async fn answer_ended(&self, id: &JobId) -> UserAnswer {
        let key = keys::ended(id);
        match self.execute(store::Request::Get { key }).await {
            Reply::Value(row) => EndedRecord::read(&row).map_or(STORE_UNREACHABLE, |record| {
                UserAnswer::ended_job(&record, id)
            }),
            _ => STORE_UNREACHABLE,
        }
    }

    /// Whether all jobs that a submission depends on were accepted, by any controller, and
    /// whether a job with dependencies can be accepted at all yet.
    async fn check_dependencies(&self, job: &JobDesc) -> Result<(), UserAnswer> {
        if job.dependencies.is_empty() {
            return Ok(());
        }
        // What can never be recorded need not be looked up, however much it depends on.
        job.recordable(&self.settings)
            .map_err(UserAnswer::rejected_submission)?;
        if self.ports.view.borrow().format < FormatLevel::DEPENDENCIES {
            let reason = "not every controller can take jobs that need others yet";
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

    /// Whether a job was accepted; none if that can't be read now. Two reads of its own, since
    /// the cache may lag behind what another controller accepted a moment ago, and in this
    /// order, since jobs only ever move from live to ended.
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

    /// The answer to a submission that can't be accepted. Guards against the refusal of a
    /// repeat: submissions are idempotent, so the state of a job that was accepted before is
    /// answered instead.
    async fn answer_unless_known(&self, id: &JobId, refusal: UserAnswer) -> UserAnswer {
        let lookup = match refusal {
            // Goes out soon, whatever the lookup does: its user retries.
            UserAnswer::Unavailable(_) => {
                tokio::time::timeout(REPEAT_LOOKUP_TIMEOUT, self.look_up_job(id)).await
            }
            // A rejection for good must know.
            _ => Ok(self.look_up_job(id).await),
        };
        match lookup {
            Ok(JobLookup::NotFound) | Err(_) => refusal,
            Ok(found) => UserAnswer::known_job(found, id),
        }
    }
}
