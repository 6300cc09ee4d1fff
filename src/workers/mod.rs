//! Machines' workers: what they report, what they are told, and the picture
//! that a holder keeps of each of its machines.

mod protocol;

pub use protocol::{Cause, Direct, Order, Orders, Phase, Report, TaskReport};

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
    pub takes: Option<(usize, Resources)>,
    /// None: of a job that is not known here.
    pub desc: Option<Rc<JobDesc>>,
    /// When it was decided, or first seen.
    pub since: Micros,
    /// When a report first showed it running.
    pub running_since: Option<Micros>,
    /// Its launch went out by `/do` or in an answer.
    pub sent: bool,
    /// Answers that carried an order for it since it last changed.
    told: u32,
    /// To be stopped, with this much time to save.
    pub halt: Option<f64>,
    /// Its halt went out.
    pub halt_sent: bool,
    /// Given up before it was shown: over once a report has this token without it.
    pub abandoned: Option<FencingToken>,
    /// Its end is recorded, so the worker may forget it.
    pub reap: bool,
}

impl Attempt {
    /// An attempt of a job, if that is known, with its team.
    pub fn new(phase: Phase, now: Micros, job: Option<(usize, &Rc<JobDesc>)>) -> Attempt {
        Attempt {
            phase,
            cause: None,
            takes: job.map(|(team, desc)| (team, desc.request())),
            desc: job.map(|(_, desc)| desc.clone()),
            since: now,
            running_since: (phase == Phase::Running).then_some(now),
            sent: phase != Phase::Launching,
            told: 0,
            halt: None,
            halt_sent: false,
            abandoned: None,
            reap: false,
        }
    }

    /// What it takes, as far as that is known.
    pub fn request(&self) -> Resources {
        self.takes
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
pub enum Event {
    /// It began to run.
    Started(AttemptKey),
    /// It ended, and why.
    Ended(AttemptKey, Cause),
    /// Over without a trace: the session moved on, or it never began.
    Gone(AttemptKey),
    /// Shown, but not known here.
    Strange(AttemptKey, Phase, Option<Cause>),
}

/// How far giving a machine up has got. From the first step on it is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// It stays.
    No,
    /// The write that gives it up is out.
    Sent,
    /// The write had no answer: it may have been, or may still be, carried out,
    /// until the key that it depends on has changed.
    Unsure,
    /// It is given up.
    Stored,
}

/// So often an order or a token may go unheeded before the machine is suspect.
const MOST_UNACKNOWLEDGED: u32 = 3;
const AVOIDED: Micros = Micros::from_millis(20_000);

/// A holder's picture of one machine.
#[derive(Debug)]
pub struct Machine {
    /// Its type.
    pub build: String,
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
    epoch: u64,
    /// Of the newest report that counts; 0: there is none yet.
    pub session: u64,
    sequence: u64,
    /// Of the last report that did not count, for direct commands until one does.
    heard_session: u64,
    /// Held by an earlier holder: nothing is known of it until a report has our token.
    pub unconfirmed: bool,
    /// Since when it is in this holder's hands.
    pub added: Micros,
    /// In use before this holder had it, so it has cost its least already.
    pub seasoned: bool,
    /// When a report of it counted last, in answers to direct commands, too.
    pub last_heard: Option<Micros>,
    /// When it last reported by itself: only the answer to that renews its lease.
    pub last_report: Option<Micros>,
    /// A report arrived that does not show our token yet: it is up, but what it
    /// says may be a late copy.
    pub reported: bool,
    /// The highest token that a report has shown.
    seen: FencingToken,
    /// Answers in a row after which it did not show our token.
    unacknowledged: u32,
    /// A report came that looks older than what is known: a late copy, or a worker
    /// that began anew. Its own answer to a direct command will tell.
    pub needs_probe: bool,
    /// Direct commands in a row that could not be sent. Its reports do not make up for
    /// them: they may arrive while nothing of ours does.
    pub unsent_commands: u32,
    /// When a report of it was last answered with a valid token.
    pub last_answer: Micros,
    /// By when its present session had surely begun: its lease counts from there, too.
    session_from: Micros,
    /// Attempts that are, or may still be, on it.
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Images that it has most likely.
    pub images: BTreeSet<ImageKey>,
    /// The cloud takes it then.
    pub taken_at: Option<Micros>,
    /// A `/do` is out.
    pub direct_out: bool,
    /// What was known when the last one was sent.
    command_sent_at: (u64, u64),
    /// A `/do` had no answer and may still arrive; over once a report has this token.
    unfenced: Option<FencingToken>,
    /// It gets nothing more to do.
    pub draining: bool,
    /// Drained for its silence alone: until it is heard again.
    pub condemned: bool,
    /// How far giving it up has got.
    pub leaving: Leaving,
    /// The revision of its shard when its record was last to be changed by us.
    pub left_at: Revision,
    /// The shard that it is recorded in.
    pub shard: u32,
    /// Recorded as used: nothing is launched on it before.
    pub used: bool,
    /// No direct command before then.
    pub direct_after: Micros,
    /// How often our token was sent to it directly after a take-over.
    pub token_commands: u32,
    /// Since when nothing is on it.
    pub idle_since: Micros,
    /// Room kept for jobs that others were stopped for.
    pub reserved: Vec<Reserved>,
    /// The head job that freed room here is held for.
    pub held_for: Option<JobId>,
    /// What its attempts add up to, as the block's sums have it.
    pub load: Load,
    /// Gigabytes of an image fetched per second.
    pub fetch: f64,
    /// Jobs that failed here since anything last succeeded.
    pub failed_jobs: BTreeMap<JobId, Micros>,
}

impl Machine {
    /// A machine of which nothing has been heard yet.
    pub fn new(
        now: Micros,
        term: Term,
        build: &str,
        zone: &str,
        spot: bool,
        capacity: Resources,
        addr: &str,
    ) -> Self {
        Machine {
            build: build.into(),
            zone: zone.into(),
            spot,
            capacity,
            addr: addr.into(),
            term,
            epoch: 0,
            session: 0,
            sequence: 0,
            heard_session: 0,
            unconfirmed: false,
            added: now,
            seasoned: false,
            last_heard: None,
            last_report: None,
            reported: false,
            seen: FencingToken(0),
            unacknowledged: 0,
            needs_probe: false,
            unsent_commands: 0,
            last_answer: now,
            session_from: now,
            attempts: BTreeMap::new(),
            images: BTreeSet::new(),
            taken_at: None,
            direct_out: false,
            command_sent_at: (0, 0),
            unfenced: None,
            draining: false,
            condemned: false,
            leaving: Leaving::No,
            left_at: Revision(0),
            shard: 0,
            used: false,
            direct_after: Micros::ZERO,
            token_commands: 0,
            idle_since: now,
            reserved: Vec::new(),
            held_for: None,
            load: Load::default(),
            fetch: 0.0,
            failed_jobs: BTreeMap::new(),
        }
    }

    /// The token that its worker is to obey now.
    pub fn token(&self) -> FencingToken {
        FencingToken::of(self.term, self.epoch)
    }

    /// The session that a direct command is meant for; a wrong one is refused, with a
    /// fresh report.
    pub fn session(&self) -> u64 {
        // Most machines are still in their first.
        self.session.max(self.heard_session).max(1)
    }

    /// Fences everything that we sent before, delayed `/do` commands included,
    /// without asking the store: the term is ours, the epoch below it too.
    fn fence(&mut self) -> FencingToken {
        self.epoch += 1;
        self.token()
    }

    /// A `/do` was not answered: it may still arrive, minutes late.
    pub fn direct_lost(&mut self) {
        self.direct_out = false;
        let token = self.fence();
        self.unfenced = Some(token);
    }

    /// Whether a job failed here lately: it tries other machines first.
    pub fn avoided_by(&self, job: &JobId, now: Micros) -> bool {
        self.failed_jobs
            .get(job)
            .is_some_and(|at| now.since(*at) < AVOIDED)
    }

    /// No command of ours may still arrive by a way that outlives an answer.
    pub fn quiet(&self) -> bool {
        !self.direct_out && self.unfenced.is_none()
    }

    /// Nothing of anyone's is on it or may still arrive there.
    pub fn empty(&self) -> bool {
        self.attempts.is_empty() && self.quiet() && !self.unconfirmed
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
            t.halt = Some(t.halt.map_or(leeway_s, |l| l.min(leeway_s)));
        }
    }

    /// Whether this report is newer than what is known. A cut may keep reports
    /// back and deliver them late; their task lists are as old as they are.
    pub fn newer(&self, r: &Report) -> bool {
        (r.session, r.sequence) > (self.session, self.sequence)
    }

    /// Whether it shows our term: only then does a report count for anything. What
    /// an earlier holder sent may still have been on its way when an older one was
    /// made, and a copy of an older one may come at any time.
    pub fn shows_term(&self, r: &Report) -> bool {
        r.token >= FencingToken::of(self.term, 0)
    }

    /// A report that does not count: from before our term, or older than another.
    pub fn uncounted(&mut self, r: &Report) {
        self.reported = true;
        self.heard_session = r.session;
        if self.seen > FencingToken(0) && r.token < self.seen {
            self.needs_probe = true;
        }
    }

    /// Its answer to our own direct command is older than what we know: the worker has
    /// begun anew and forgotten its token. What was sent before may still reach it,
    /// so that all it had is over only once it shows a token above.
    pub fn reborn(&mut self, now: Micros, r: &Report) {
        self.session_from = now;
        self.session = r.session;
        self.sequence = r.sequence;
        self.seen = r.token;
        self.images.clear();
        self.needs_probe = false;
        let token = self.fence();
        self.unfenced = Some(token);
    }

    /// A direct command is about to go out.
    pub fn command_sent(&mut self) {
        self.direct_out = true;
        self.command_sent_at = (self.session, self.sequence);
    }

    /// An answer to our direct command was made after we sent it, so it is newer than
    /// all that we knew then, or of a worker that has begun anew.
    pub fn is_reborn(&self, r: &Report) -> bool {
        self.session > 0 && (r.session, r.sequence) <= self.command_sent_at
    }

    /// Reports arrive, but what they show says that our answers do not: nothing more
    /// is started there, and what is open stays open.
    pub fn suspect(&self) -> bool {
        self.unacknowledged >= MOST_UNACKNOWLEDGED
            || self.unsent_commands >= MOST_UNACKNOWLEDGED
            || self
                .attempts
                .values()
                .any(|t| t.told >= MOST_UNACKNOWLEDGED)
    }

    /// An answer with these orders is on its way.
    pub fn answered(&mut self, now: Micros, r: &Report) {
        self.last_answer = now;
        if r.token < self.token() {
            self.unacknowledged += 1;
        }
    }

    /// Takes in a newer report that shows our term.
    pub fn observe(&mut self, now: Micros, r: &Report) -> Vec<Event> {
        let mut events = Vec::new();
        self.last_heard = Some(now);
        if std::mem::take(&mut self.condemned) {
            self.draining = false;
        }
        self.reported = true;
        self.needs_probe = self.unsent_commands > 0;
        self.seen = self.seen.max(r.token);
        if r.token >= self.token() {
            self.unacknowledged = 0;
        }
        if r.addr != self.addr {
            self.addr.clone_from(&r.addr);
        }
        let moved_on = self.session != 0 && r.session > self.session;
        if r.session != self.session {
            // Guards against ending what was started in a session by the age of an
            // answer in an earlier one: a machine whose check-ins do not get through
            // may well carry out direct commands, in session after session.
            self.session_from = now;
        }
        self.session = r.session;
        self.sequence = r.sequence;
        if moved_on {
            // The session ended: the worker has killed all it had, and drops
            // commands for the old session, however late they come.
            self.unfenced = None;
            self.images.clear();
        }
        if self.unfenced.is_some_and(|t| r.token >= t) {
            self.unfenced = None;
        }
        self.unconfirmed = false;
        self.taken_at = r.warning_s.map(|w| now + Micros::from_secs(w));
        let mut shown = BTreeSet::new();
        for reported in &r.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                continue;
            };
            let key = (task, reported.attempt);
            shown.insert(key.clone());
            let Some(t) = self.attempts.get_mut(&key) else {
                events.push(Event::Strange(key, reported.phase, reported.cause));
                continue;
            };
            let before = t.phase;
            if before != reported.phase {
                t.told = 0;
            }
            t.phase = reported.phase;
            t.cause = reported.cause;
            if reported.phase == Phase::Running && t.running_since.is_none() {
                t.running_since = Some(now);
                self.images.extend(t.image());
                events.push(Event::Started(key.clone()));
            }
            if t.abandoned.is_some() && reported.phase != Phase::Exited && t.halt.is_none() {
                // It began after all, before the fence reached the worker.
                t.halt = Some(0.0);
            }
            if reported.phase == Phase::Exited && before != Phase::Exited {
                events.push(Event::Ended(key, reported.cause.unwrap_or(Cause::Other)));
            }
        }
        let quiet = self.quiet();
        self.attempts.retain(|key, t| {
            if shown.contains(key) {
                return true;
            }
            let over = match t.phase {
                // Not shown yet: it may still arrive, so it stays ours, and is sent
                // again, until the session moves on or its fence was seen.
                Phase::Launching => moved_on || t.abandoned.is_some_and(|a| r.token >= a),
                Phase::Exited => true,
                _ => moved_on || quiet,
            };
            if over && t.phase != Phase::Exited {
                events.push(Event::Gone(key.clone()));
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
    /// holder can have answered it.
    pub fn lease_from(&self) -> Micros {
        self.last_answer.max(self.session_from)
    }

    /// The worker's lease is surely over, or the machine gone: nothing runs there.
    pub fn over(&mut self) -> Vec<AttemptKey> {
        self.unconfirmed = false;
        self.unfenced = None;
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
    pub fn unsent(&mut self) -> Vec<AttemptKey> {
        self.direct_out = false;
        let never =
            |t: &Attempt| t.phase == Phase::Launching && t.told == 0 && t.abandoned.is_none();
        // What an earlier direct command may still carry is not among them.
        if self.unfenced.is_some() {
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
    pub fn orders(&mut self, in_answer: bool) -> Vec<Order> {
        if self.unconfirmed {
            return Vec::new();
        }
        // After a reap the worker has forgotten the attempt, so a launch that may
        // still arrive would run it once more: reaping waits until none can.
        let may_reap = self.quiet();
        let mut orders = Vec::new();
        for ((task, attempt), t) in &mut self.attempts {
            let (task, attempt) = (task.to_string(), *attempt);
            let before = orders.len();
            match t.phase {
                Phase::Launching if t.abandoned.is_none() => {
                    t.sent = true;
                    orders.push(Order::Launch { task, attempt });
                }
                Phase::Launching => {}
                Phase::Exited if t.reap && may_reap => orders.push(Order::Reap { task, attempt }),
                Phase::Exited => {}
                _ => {
                    if let Some(leeway_s) = t.halt {
                        t.halt_sent = true;
                        orders.push(Order::Halt {
                            task,
                            attempt,
                            leeway_s,
                        });
                    }
                }
            }
            if in_answer && orders.len() > before && t.phase != Phase::Saving {
                t.told += 1;
            }
        }
        // Room is made before it is used.
        orders.sort_by_key(|o| matches!(o, Order::Launch { .. }));
        orders
    }

    /// Adds up what attempts take of it, those not yet surely over included.
    pub fn count_load(&self) -> Load {
        let mut load = Load {
            unknown: self.unconfirmed,
            ..Load::default()
        };
        for t in self.attempts.values().filter(|t| t.phase != Phase::Exited) {
            match t.takes {
                Some((team, request)) => load.take(team, request),
                // Guards against a team over its limit: a cancelled job's record is
                // gone, but its tasks are on their machine until they have ended.
                None => load.unknown = true,
            }
        }
        load
    }

    /// Whether something is to be sent to it that can't wait for its next report.
    pub fn wants_command(&self) -> bool {
        let urgent = |t: &Attempt| match t.phase {
            Phase::Launching => !t.sent && t.abandoned.is_none(),
            Phase::Exited | Phase::Saving => false,
            _ => t.halt.is_some() && !t.halt_sent,
        };
        self.needs_probe || self.attempts.values().any(urgent)
    }
}

#[cfg(test)]
pub(crate) mod tests;
