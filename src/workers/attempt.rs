//! One attempt of a task on a machine.

use super::{AttemptPhase, ExitCause};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{AttemptId, FencingToken, TaskId};
use crate::jobs::{ImageKey, JobDesc};
use std::rc::Rc;

/// Identifies an attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// Which attempt of it.
    pub attempt: AttemptId,
}

/// What a task requests, and of which team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskDemand {
    /// The team whose quota limit it counts against.
    pub team: usize,
    /// What it requests.
    pub request: Resources,
}

/// The request to stop an attempt.
#[derive(Debug, Clone, Copy)]
struct StopRequest {
    /// How long the attempt may take for its checkpoint, in seconds.
    grace_period_s: f64,
    /// Whether a command to stop it was sent.
    is_sent: bool,
}

/// An attempt on a machine, until it has surely ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// How far it has got.
    pub phase: AttemptPhase,
    /// Why it ended.
    pub cause: Option<ExitCause>,
    /// What it requests. None: it is of an unknown job, so that it may be any team's and
    /// take all of its machine.
    pub demand: Option<TaskDemand>,
    /// None: of an unknown job.
    pub desc: Option<Rc<JobDesc>>,
    /// When a heartbeat first showed it running.
    pub running_since: Option<Micros>,
    /// Whether its launch was sent, by a direct command or in a response.
    pub is_launch_sent: bool,
    /// Responses that carried a command for it since it last changed.
    pub(super) unacknowledged_sends: u32,
    /// Set once it is to be stopped.
    stop: Option<StopRequest>,
    /// Abandoned before any heartbeat showed it: lost once one has this token without it.
    abandoned: Option<FencingToken>,
    /// Whether its end is recorded, so that the worker may forget it.
    pub may_be_reaped: bool,
}

impl Attempt {
    /// An attempt that is in a phase now, of a job with its team if that is known.
    pub fn new(phase: AttemptPhase, now: Micros, job: Option<(usize, &Rc<JobDesc>)>) -> Attempt {
        Attempt {
            phase,
            cause: None,
            demand: job.map(|(team, desc)| TaskDemand {
                team,
                request: desc.request(),
            }),
            desc: job.map(|(_, desc)| desc.clone()),
            running_since: (phase == AttemptPhase::Running).then_some(now),
            is_launch_sent: phase != AttemptPhase::Launching,
            unacknowledged_sends: 0,
            stop: None,
            abandoned: None,
            may_be_reaped: false,
        }
    }

    /// What it requests, as far as that is known.
    pub fn request(&self) -> Resources {
        self.demand
            .map_or(Resources::default(), |demand| demand.request)
    }

    /// The image that it needs.
    pub fn image(&self) -> Option<ImageKey> {
        self.desc.as_ref().map(|desc| desc.image_key())
    }

    /// Whether it has ended.
    pub fn has_exited(&self) -> bool {
        self.phase == AttemptPhase::Exited
    }

    /// Whether it is to be stopped.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Whether it was abandoned before any heartbeat showed it.
    pub fn is_abandoned(&self) -> bool {
        self.abandoned.is_some()
    }

    /// Has it stopped within a grace period in seconds, or within the shorter one that it
    /// has already.
    pub fn request_stop(&mut self, grace_period_s: f64) {
        let stop = self.stop.get_or_insert(StopRequest {
            grace_period_s,
            is_sent: false,
        });
        stop.grace_period_s = stop.grace_period_s.min(grace_period_s);
    }

    /// Whether its launch is wanted and no heartbeat has shown it.
    pub(super) fn is_launch_pending(&self) -> bool {
        self.phase == AttemptPhase::Launching && self.abandoned.is_none()
    }

    /// Gives it up before any heartbeat has shown it.
    pub(super) fn abandon(&mut self, token: FencingToken) {
        self.abandoned = Some(token);
    }

    /// Whether it was abandoned and the worker drops its launch, since it has seen this
    /// token.
    pub(super) fn is_fenced_by(&self, seen: FencingToken) -> bool {
        self.abandoned.is_some_and(|abandoned| seen >= abandoned)
    }

    /// Marks the command to stop it as sent and gives its grace period in seconds. None: it
    /// is not to be stopped.
    pub(super) fn send_stop(&mut self) -> Option<f64> {
        let stop = self.stop.as_mut()?;
        stop.is_sent = true;
        Some(stop.grace_period_s)
    }

    /// Whether a command for it has not been sent yet.
    pub(super) fn has_unsent_command(&self) -> bool {
        match self.phase {
            AttemptPhase::Launching => !self.is_launch_sent && self.abandoned.is_none(),
            AttemptPhase::Exited | AttemptPhase::Saving => false,
            _ => self.stop.is_some_and(|stop| !stop.is_sent),
        }
    }
}
