//! Taking jobs in: what a submission is checked for, and what its user is told.

use super::*;

impl Api {
    pub(super) async fn submit(&self, body: &[u8]) -> UserAnswer {
        let job = match JobDesc::parse(body) {
            Ok(job) => job,
            Err(refusal) => return refused(refusal),
        };
        if let Err(told) = self.check_dependencies(&job).await {
            return self.unless_known(&job.id, told).await;
        }
        for _ in 0..TRIES {
            let view = self.ports.view.borrow().clone();
            let Some(types) = &view.types else {
                let told = UserAnswer::Unavailable("machine types are not known yet");
                return self.unless_known(&job.id, told).await;
            };
            if let Err(refusal) = job.admissible(&self.settings, types) {
                return self.unless_known(&job.id, refused(refusal)).await;
            }
            let team = self.settings.team(&job.team);
            let Some((partition, grant, born)) = team.and_then(|t| view.teams.get(t)).copied()
            else {
                return self.unless_known(&job.id, NO_STORE).await;
            };
            let rec = JobRecord {
                desc: job.clone(),
                accepted_at: wall_clock_now(),
                accepted_term: born,
            };
            let compares = vec![
                compare(keys::job(&job.id), Revision(0)),
                compare(keys::ended(&job.id), Revision(0)),
                // Under this grant: a later owner knows whether an earlier one can
                // have started it.
                compare(keys::partition_owner(partition), grant),
            ];
            let mutations = vec![store::put(keys::job(&job.id), &rec)];
            match self
                .ask(Ask::CompareAndSwap {
                    compares,
                    mutations,
                })
                .await
            {
                Reply::Committed(_) => {
                    return UserAnswer::Job {
                        status: 201,
                        id: job.id,
                        standing: JobState::Pending,
                        counts: None,
                    };
                }
                // A repeat of a job that is over: its record needs no reading of changes.
                Reply::Conflict(failed) if failed.contains(&keys::ended(&job.id)) => {
                    let key = keys::ended(&job.id);
                    return match self.ask(Ask::Get { key }).await {
                        Reply::Value(row) => ended(&row, &job.id),
                        _ => NO_STORE,
                    };
                }
                Reply::Conflict(failed)
                    if failed
                        .iter()
                        .any(|k| *k != keys::partition_owner(partition)) =>
                {
                    match self.find(&job.id).await {
                        // It ended and was read in between; look once more.
                        JobLookup::NotFound => {}
                        found => return known(found, &job.id),
                    }
                }
                // The partition changed hands; the news of it is on its way here.
                Reply::Conflict(_) => tokio::time::sleep(Duration::from_millis(150)).await,
                _ => return self.unless_known(&job.id, NO_STORE).await,
            }
        }
        let told = UserAnswer::Unavailable("the team's block is changing hands");
        self.unless_known(&job.id, told).await
    }

    /// Whether all jobs that a submission names were accepted, by any node, and whether a
    /// job that names others can be taken at all yet.
    pub(super) async fn check_dependencies(&self, job: &JobDesc) -> Result<(), UserAnswer> {
        if job.dependencies.is_empty() {
            return Ok(());
        }
        // What can never be recorded need not be looked up, however much it names.
        job.recordable(&self.settings).map_err(refused)?;
        if self.ports.view.borrow().format < FormatLevel::DEPENDENCIES {
            let why = "not every controller can take jobs that need others yet";
            return Err(UserAnswer::Unavailable(why));
        }
        for id in &job.dependencies {
            match self.accepted(id).await {
                Some(true) => {}
                Some(false) => {
                    return Err(refused(UnsatisfiableJob::UnknownDependency(id.clone())));
                }
                None => return Err(NO_STORE),
            }
        }
        Ok(())
    }

    /// Whether a job was accepted; none: it can't be told now. Two reads of its own, since
    /// the cache may lag behind what another node accepted a moment ago, and in this
    /// order, since jobs only ever move from live to ended.
    pub(super) async fn accepted(&self, id: &JobId) -> Option<bool> {
        for key in [keys::job(id), keys::ended(id)] {
            match self.ask(Ask::Get { key }).await {
                Reply::Value(_) => return Some(true),
                Reply::NotFound => {}
                _ => return None,
            }
        }
        Some(false)
    }

    /// The answer to a submission that can't be taken. Guards against a refusal of what
    /// was accepted before, by whichever node and however the types, the team's partition or
    /// the store are now: a repeat is told how the job stands.
    pub(super) async fn unless_known(&self, id: &JobId, told: UserAnswer) -> UserAnswer {
        // A refusal for now goes out soon, whatever the lookup does: its user asks again.
        // One for good must know.
        let found = match told {
            UserAnswer::Unavailable(_) => tokio::time::timeout(LOOKUP, self.find(id)).await,
            _ => Ok(self.find(id).await),
        };
        match found {
            Ok(JobLookup::NotFound) | Err(_) => told,
            Ok(found) => known(found, id),
        }
    }
}
