//! Machines' workers: what they report, what they are told, and the picture
//! that an owner keeps of each of its machines.

mod protocol;

pub use protocol::{
    Cause, DirectCommand, Heartbeat, HeartbeatResponse, Phase, TaskStatus, WorkerCommand,
};

use crate::clock::Micros;
use crate::fairness::{Load, Resources};
use crate::ids::{AttemptId, FencingToken, JobId, Revision, TaskId, Term};
use crate::jobs::{ImageKey, JobDesc};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Names an attempt of a task.
pub type AttemptKey = (TaskId, AttemptId);

/// An attempt on a machine, until it is surely over.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// How far it has got.
    pub phase: Phase,
    /// Why it ended.
    pub cause: Option<Cause>,
    /// Whose limit it counts against and what it takes; none: of a job that is not
    /// known here, so that it may be any team's and take all of its machine.
    pub demand: Option<(usize, Resources)>,
    /// None: of a job that is not known here.
    pub desc: Option<Rc<JobDesc>>,
    /// When it was decided, or first seen.
    pub decided_at: Micros,
    /// When a report first showed it running.
    pub running_since: Option<Micros>,
    /// Its launch went out by `/do` or in an answer.
    pub sent: bool,
    /// Answers that carried an order for it since it last changed.
    unacknowledged_sends: u32,
    /// To be stopped, with this much time to save.
    pub stop_grace_period_s: Option<f64>,
    /// Its halt went out.
    pub stop_sent: bool,
    /// Given up before it was shown: over once a report has this token without it.
    pub abandoned: Option<FencingToken>,
    /// Its end is recorded, so the worker may forget it.
    pub may_be_reaped: bool,
}

impl Attempt {
    /// An attempt of a job, if that is known, with its team.
    pub fn new(phase: Phase, now: Micros, job: Option<(usize, &Rc<JobDesc>)>) -> Attempt {
        Attempt {
            phase,
            cause: None,
            demand: job.map(|(team, desc)| (team, desc.request())),
            desc: job.map(|(_, desc)| desc.clone()),
            decided_at: now,
            running_since: (phase == Phase::Running).then_some(now),
            sent: phase != Phase::Launching,
            unacknowledged_sends: 0,
            stop_grace_period_s: None,
            stop_sent: false,
            abandoned: None,
            may_be_reaped: false,
        }
    }

    /// What it takes, as far as that is known.
    pub fn request(&self) -> Resources {
        self.demand
            .map_or(Resources::default(), |(_, request)| request)
    }

    /// The image that it needs.
    pub fn image(&self) -> Option<ImageKey> {
        self.desc.as_ref().map(|d| d.image_key())
    }
}

/// Room that was freed for a job by stopping others.
#[derive(Debug, Clone, PartialEq)]
pub struct Reserved {
    /// The job that the room is kept for.
    pub job: JobId,
    /// What one of its tasks takes.
    pub request: Resources,
    /// For so many of its tasks.
    pub count: u32,
    /// Kept until then.
    pub until: Micros,
}

/// What a report changed.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// It began to run.
    Started(AttemptKey),
    /// It ended, and why.
    Ended(AttemptKey, Cause),
    /// Over without a trace: the session moved on, or it never began.
    Lost(AttemptKey),
    /// Shown, but not known here.
    Unknown(AttemptKey, Phase, Option<Cause>),
}

/// How far giving a machine up has got. From the first step on it is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// It stays.
    Active,
    /// The write that gives it up is out.
    Requested,
    /// The write had no answer: it may have been, or may still be, carried out,
    /// until the key that it depends on has changed.
    Indeterminate,
    /// It is given up.
    Released,
}

/// So often an order or a token may go unheeded before the machine is suspect.
const MOST_UNACKNOWLEDGED: u32 = 3;
const AVOIDED: Micros = Micros::from_millis(20_000);

/// An owner's picture of one machine.
#[derive(Debug)]
pub struct Machine {
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// All that tasks may take of it.
    pub capacity: Resources,
    /// Where its worker takes direct commands.
    pub addr: String,
    /// The term under which it is commanded.
    pub term: Term,
    fencing_epoch: u64,
    /// Of the newest report that counts; 0: there is none yet.
    pub agent_epoch: u64,
    heartbeat_sequence: u64,
    /// Of the last report that did not count, for direct commands until one does.
    last_seen_agent_epoch: u64,
    /// Held by an earlier owner: nothing is known of it until a report has our token.
    pub unconfirmed: bool,
    /// Since when it is in this owner's hands.
    pub added_at: Micros,
    /// In use before this owner had it, so it has cost its least already.
    pub minimum_charge_paid: bool,
    /// When a report of it counted last, in answers to direct commands, too.
    pub last_heard_at: Option<Micros>,
    /// When it last reported by itself: only the answer to that renews its lease.
    pub last_heartbeat_at: Option<Micros>,
    /// A report arrived that does not show our token yet: it is up, but what it
    /// says may be a late copy.
    pub has_reported: bool,
    /// The highest token that a report has shown.
    highest_seen_token: FencingToken,
    /// Answers in a row after which it did not show our token.
    unacknowledged: u32,
    /// A report came that looks older than what is known: a late copy, or a worker
    /// that began anew. Its own answer to a direct command will tell.
    pub needs_probe: bool,
    /// Direct commands in a row that could not be sent. Its reports do not make up for
    /// them: they may arrive while nothing of ours does.
    pub unsent_commands: u32,
    /// When a report of it was last answered with a valid token.
    pub last_answered_at: Micros,
    /// By when its present session had surely begun: its lease counts from there, too.
    agent_epoch_started_at: Micros,
    /// Attempts that are, or may still be, on it.
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Images that it has most likely.
    pub images: BTreeSet<ImageKey>,
    /// The cloud takes it then.
    pub preempted_at: Option<Micros>,
    /// A `/do` is out.
    pub direct_command_in_flight: bool,
    /// What was known when the last one was sent.
    known_at_direct_command: (u64, u64),
    /// A `/do` had no answer and may still arrive; over once a report has this token.
    unfenced_token: Option<FencingToken>,
    /// It gets nothing more to do.
    pub draining: bool,
    /// Drained for its silence alone: until it is heard again.
    pub cordoned: bool,
    /// How far giving it up has got.
    pub release_state: ReleaseState,
    /// The revision of its shard when its record was last to be changed by us.
    pub release_revision: Revision,
    /// The shard that it is recorded in.
    pub shard: u32,
    /// Recorded as used: nothing is launched on it before.
    pub used: bool,
    /// No direct command before then.
    pub next_direct_command_at: Micros,
    /// How often our token was sent to it directly after a failover.
    pub token_commands: u32,
    /// Since when nothing is on it.
    pub idle_since: Micros,
    /// Room kept for jobs that others were stopped for.
    pub reserved: Vec<Reserved>,
    /// The head job that freed room here is held for.
    pub held_for: Option<JobId>,
    /// What its attempts add up to, as the partition's sums have it.
    pub load: Load,
    /// Gigabytes of an image fetched per second.
    pub image_fetch_gb_per_s: f64,
    /// Jobs that failed here since anything last succeeded.
    pub failed_jobs: BTreeMap<JobId, Micros>,
}

impl Machine {
    /// A machine of which nothing has been heard yet.
    pub fn new(
        now: Micros,
        term: Term,
        machine_type: &str,
        zone: &str,
        spot: bool,
        capacity: Resources,
        addr: &str,
    ) -> Self {
        Machine {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            capacity,
            addr: addr.into(),
            term,
            fencing_epoch: 0,
            agent_epoch: 0,
            heartbeat_sequence: 0,
            last_seen_agent_epoch: 0,
            unconfirmed: false,
            added_at: now,
            minimum_charge_paid: false,
            last_heard_at: None,
            last_heartbeat_at: None,
            has_reported: false,
            highest_seen_token: FencingToken(0),
            unacknowledged: 0,
            needs_probe: false,
            unsent_commands: 0,
            last_answered_at: now,
            agent_epoch_started_at: now,
            attempts: BTreeMap::new(),
            images: BTreeSet::new(),
            preempted_at: None,
            direct_command_in_flight: false,
            known_at_direct_command: (0, 0),
            unfenced_token: None,
            draining: false,
            cordoned: false,
            release_state: ReleaseState::Active,
            release_revision: Revision(0),
            shard: 0,
            used: false,
            next_direct_command_at: Micros::ZERO,
            token_commands: 0,
            idle_since: now,
            reserved: Vec::new(),
            held_for: None,
            load: Load::default(),
            image_fetch_gb_per_s: 0.0,
            failed_jobs: BTreeMap::new(),
        }
    }

    /// The token that its worker is to obey now.
    pub fn fencing_token(&self) -> FencingToken {
        FencingToken::of(self.term, self.fencing_epoch)
    }

    /// The session that a direct command is meant for; a wrong one is refused, with a
    /// fresh report.
    pub fn target_agent_epoch(&self) -> u64 {
        // Most machines are still in their first.
        self.agent_epoch.max(self.last_seen_agent_epoch).max(1)
    }

    /// Fences everything that we sent before, delayed `/do` commands included,
    /// without asking the store: the term is ours, the epoch below it too.
    fn fence(&mut self) -> FencingToken {
        self.fencing_epoch += 1;
        self.fencing_token()
    }

    /// A `/do` was not answered: it may still arrive, minutes late.
    pub fn direct_command_lost(&mut self) {
        self.direct_command_in_flight = false;
        let token = self.fence();
        self.unfenced_token = Some(token);
    }

    /// Whether a job failed here lately: it tries other machines first.
    pub fn is_avoided_by(&self, job: &JobId, now: Micros) -> bool {
        self.failed_jobs
            .get(job)
            .is_some_and(|at| now.since(*at) < AVOIDED)
    }

    /// No command of ours may still arrive by a way that outlives an answer.
    pub fn has_no_command_in_transit(&self) -> bool {
        !self.direct_command_in_flight && self.unfenced_token.is_none()
    }

    /// Nothing of anyone's is on it or may still arrive there.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.has_no_command_in_transit() && !self.unconfirmed
    }

    /// Gives up attempts that no report has shown yet.
    pub fn abandon_launching(&mut self, which: impl Fn(&AttemptKey) -> bool) {
        if !self
            .attempts
            .iter()
            .any(|(k, t)| t.phase == Phase::Launching && t.abandoned.is_none() && which(k))
        {
            return;
        }
        let token = self.fence();
        for (key, t) in &mut self.attempts {
            if t.phase == Phase::Launching && t.abandoned.is_none() && which(key) {
                t.abandoned = Some(token);
            }
        }
    }

    /// Stops what `which` picks: at once what was not shown yet, with time to
    /// save what was.
    pub fn stop(&mut self, leeway_s: f64, which: impl Fn(&AttemptKey) -> bool) {
        self.abandon_launching(&which);
        for (_, t) in self
            .attempts
            .iter_mut()
            .filter(|(k, t)| t.phase != Phase::Exited && which(k))
        {
            t.stop_grace_period_s =
                Some(t.stop_grace_period_s.map_or(leeway_s, |l| l.min(leeway_s)));
        }
    }

    /// Whether this report is newer than what is known. A cut may keep reports
    /// back and deliver them late; their task lists are as old as they are.
    pub fn is_newer(&self, r: &Heartbeat) -> bool {
        (r.agent_epoch, r.heartbeat_sequence) > (self.agent_epoch, self.heartbeat_sequence)
    }

    /// Whether it shows our term: only then does a report count for anything. What
    /// an earlier owner sent may still have been on its way when an older one was
    /// made, and a copy of an older one may come at any time.
    pub fn shows_term(&self, r: &Heartbeat) -> bool {
        r.fencing_token >= FencingToken::of(self.term, 0)
    }

    /// A report that does not count: from before our term, or older than another.
    pub fn record_uncounted_heartbeat(&mut self, r: &Heartbeat) {
        self.has_reported = true;
        self.last_seen_agent_epoch = r.agent_epoch;
        if self.highest_seen_token > FencingToken(0) && r.fencing_token < self.highest_seen_token {
            self.needs_probe = true;
        }
    }

    /// Its answer to our own direct command is older than what we know: the worker has
    /// begun anew and forgotten its token. What was sent before may still reach it,
    /// so that all it had is over only once it shows a token above.
    pub fn record_restart(&mut self, now: Micros, r: &Heartbeat) {
        self.agent_epoch_started_at = now;
        self.agent_epoch = r.agent_epoch;
        self.heartbeat_sequence = r.heartbeat_sequence;
        self.highest_seen_token = r.fencing_token;
        self.images.clear();
        self.needs_probe = false;
        let token = self.fence();
        self.unfenced_token = Some(token);
    }

    /// A direct command is about to go out.
    pub fn record_direct_command_sent(&mut self) {
        self.direct_command_in_flight = true;
        self.known_at_direct_command = (self.agent_epoch, self.heartbeat_sequence);
    }

    /// An answer to our direct command was made after we sent it, so it is newer than
    /// all that we knew then, or of a worker that has begun anew.
    pub fn has_restarted(&self, r: &Heartbeat) -> bool {
        self.agent_epoch > 0
            && (r.agent_epoch, r.heartbeat_sequence) <= self.known_at_direct_command
    }

    /// Reports arrive, but what they show says that our answers do not: nothing more
    /// is started there, and what is open stays open.
    pub fn is_unreachable(&self) -> bool {
        self.unacknowledged >= MOST_UNACKNOWLEDGED
            || self.unsent_commands >= MOST_UNACKNOWLEDGED
            || self
                .attempts
                .values()
                .any(|t| t.unacknowledged_sends >= MOST_UNACKNOWLEDGED)
    }

    /// An answer with these orders is on its way.
    pub fn record_answer(&mut self, now: Micros, r: &Heartbeat) {
        self.last_answered_at = now;
        if r.fencing_token < self.fencing_token() {
            self.unacknowledged += 1;
        }
    }

    /// Takes in a newer report that shows our term.
    pub fn reconcile(&mut self, now: Micros, r: &Heartbeat) -> Vec<AttemptEvent> {
        let mut events = Vec::new();
        self.last_heard_at = Some(now);
        if std::mem::take(&mut self.cordoned) {
            self.draining = false;
        }
        self.has_reported = true;
        self.needs_probe = self.unsent_commands > 0;
        self.highest_seen_token = self.highest_seen_token.max(r.fencing_token);
        if r.fencing_token >= self.fencing_token() {
            self.unacknowledged = 0;
        }
        if r.addr != self.addr {
            self.addr.clone_from(&r.addr);
        }
        let moved_on = self.agent_epoch != 0 && r.agent_epoch > self.agent_epoch;
        if r.agent_epoch != self.agent_epoch {
            // Guards against ending what was started in a session by the age of an
            // answer in an earlier one: a machine whose check-ins do not get through
            // may well carry out direct commands, in session after session.
            self.agent_epoch_started_at = now;
        }
        self.agent_epoch = r.agent_epoch;
        self.heartbeat_sequence = r.heartbeat_sequence;
        if moved_on {
            // The session ended: the worker has killed all it had, and drops
            // commands for the old session, however late they come.
            self.unfenced_token = None;
            self.images.clear();
        }
        if self.unfenced_token.is_some_and(|t| r.fencing_token >= t) {
            self.unfenced_token = None;
        }
        self.unconfirmed = false;
        self.preempted_at = r.warning_s.map(|w| now + Micros::from_secs(w));
        let mut shown = BTreeSet::new();
        for reported in &r.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                continue;
            };
            let key = (task, reported.attempt);
            shown.insert(key.clone());
            let Some(t) = self.attempts.get_mut(&key) else {
                events.push(AttemptEvent::Unknown(key, reported.phase, reported.cause));
                continue;
            };
            let before = t.phase;
            if before != reported.phase {
                t.unacknowledged_sends = 0;
            }
            t.phase = reported.phase;
            t.cause = reported.cause;
            if reported.phase == Phase::Running && t.running_since.is_none() {
                t.running_since = Some(now);
                self.images.extend(t.image());
                events.push(AttemptEvent::Started(key.clone()));
            }
            if t.abandoned.is_some()
                && reported.phase != Phase::Exited
                && t.stop_grace_period_s.is_none()
            {
                // It began after all, before the fence reached the worker.
                t.stop_grace_period_s = Some(0.0);
            }
            if reported.phase == Phase::Exited && before != Phase::Exited {
                events.push(AttemptEvent::Ended(
                    key,
                    reported.cause.unwrap_or(Cause::Other),
                ));
            }
        }
        let quiet = self.has_no_command_in_transit();
        self.attempts.retain(|key, t| {
            if shown.contains(key) {
                return true;
            }
            let over = match t.phase {
                // Not shown yet: it may still arrive, so it stays ours, and is sent
                // again, until the session moves on or its fence was seen.
                Phase::Launching => moved_on || t.abandoned.is_some_and(|a| r.fencing_token >= a),
                Phase::Exited => true,
                _ => moved_on || quiet,
            };
            if over && t.phase != Phase::Exited {
                events.push(AttemptEvent::Lost(key.clone()));
            }
            !over
        });
        if !self.attempts.is_empty() {
            self.idle_since = now;
        }
        events
    }

    /// From when on its worker's lease may count: an answer that it can have had, or
    /// the start of its session. Both begin with the grant, since until then an earlier
    /// owner can have answered it.
    pub fn lease_started_at(&self) -> Micros {
        self.last_answered_at.max(self.agent_epoch_started_at)
    }

    /// The worker's lease is surely over, or the machine gone: nothing runs there.
    pub fn expire(&mut self) -> Vec<AttemptKey> {
        self.unconfirmed = false;
        self.unfenced_token = None;
        let ended = self
            .attempts
            .iter()
            .filter(|(_, t)| t.phase != Phase::Exited);
        let keys = ended.map(|(k, _)| k.clone()).collect();
        self.attempts.clear();
        keys
    }

    /// A direct command surely did not go out: launches that nothing else carried are
    /// given up at once, so that the tasks can go elsewhere.
    pub fn abandon_unsent_launches(&mut self) -> Vec<AttemptKey> {
        self.direct_command_in_flight = false;
        let never = |t: &Attempt| {
            t.phase == Phase::Launching && t.unacknowledged_sends == 0 && t.abandoned.is_none()
        };
        // What an earlier direct command may still carry is not among them.
        if self.unfenced_token.is_some() {
            return Vec::new();
        }
        let keys: Vec<AttemptKey> = self
            .attempts
            .iter()
            .filter(|(_, t)| never(t) && t.sent)
            .map(|(k, _)| k.clone())
            .collect();
        for key in &keys {
            self.attempts.remove(key);
        }
        keys
    }

    /// What the worker should be told now; in an answer or directly.
    pub fn commands(&mut self, in_answer: bool) -> Vec<WorkerCommand> {
        if self.unconfirmed {
            return Vec::new();
        }
        // After a reap the worker has forgotten the attempt, so a launch that may
        // still arrive would run it once more: reaping waits until none can.
        let may_reap = self.has_no_command_in_transit();
        let mut orders = Vec::new();
        for ((task, attempt), t) in &mut self.attempts {
            let (task, attempt) = (task.to_string(), *attempt);
            let before = orders.len();
            match t.phase {
                Phase::Launching if t.abandoned.is_none() => {
                    t.sent = true;
                    orders.push(WorkerCommand::Launch { task, attempt });
                }
                Phase::Launching => {}
                Phase::Exited if t.may_be_reaped && may_reap => {
                    orders.push(WorkerCommand::Reap { task, attempt })
                }
                Phase::Exited => {}
                _ => {
                    if let Some(leeway_s) = t.stop_grace_period_s {
                        t.stop_sent = true;
                        orders.push(WorkerCommand::Stop {
                            task,
                            attempt,
                            grace_period_s: leeway_s,
                        });
                    }
                }
            }
            if in_answer && orders.len() > before && t.phase != Phase::Saving {
                t.unacknowledged_sends += 1;
            }
        }
        // Room is made before it is used.
        orders.sort_by_key(|o| matches!(o, WorkerCommand::Launch { .. }));
        orders
    }

    /// Adds up what attempts take of it, those not yet surely over included.
    pub fn compute_load(&self) -> Load {
        let mut load = Load {
            unknown: self.unconfirmed,
            ..Load::default()
        };
        for t in self.attempts.values().filter(|t| t.phase != Phase::Exited) {
            match t.demand {
                Some((team, request)) => load.take(team, request),
                // Guards against a team over its limit: a cancelled job's record is
                // gone, but its tasks are on their machine until they have ended.
                None => load.unknown = true,
            }
        }
        load
    }

    /// Whether something is to be sent to it that can't wait for its next report.
    pub fn needs_direct_command(&self) -> bool {
        let urgent = |t: &Attempt| match t.phase {
            Phase::Launching => !t.sent && t.abandoned.is_none(),
            Phase::Exited | Phase::Saving => false,
            _ => t.stop_grace_period_s.is_some() && !t.stop_sent,
        };
        self.needs_probe || self.attempts.values().any(urgent)
    }
}

#[cfg(test)]
pub(crate) mod tests;
