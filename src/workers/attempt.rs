//! An attempt to run a task on a machine, as the machine's owner tracks it.

use super::{AttemptPhase, ExitCause, TaskStatus};
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
    /// The attempt of the task.
    pub attempt: AttemptId,
}

impl AttemptKey {
    /// Returns the key of the attempt whose status a worker reports. Returns `None` if the task's
    /// name is malformed.
    pub(super) fn of(status: &TaskStatus) -> Option<AttemptKey> {
        Some(AttemptKey {
            task: TaskId::parse(&status.task)?,
            attempt: status.attempt,
        })
    }
}

/// The resources that a task requests, and the team that they count against.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskDemand {
    /// Index in the settings of the team whose quota limit the task counts against.
    pub team: usize,
    /// The resources that the task requests.
    pub request: Resources,
}

/// The request to stop an attempt.
#[derive(Debug, Clone, Copy)]
struct StopRequest {
    /// Time that the attempt may take to save its checkpoint, in seconds.
    grace_period_s: f64,
    /// Whether a command to stop the attempt was sent.
    is_sent: bool,
}

/// An attempt on a machine. It is kept until it is guaranteed to have ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The attempt's phase.
    pub phase: AttemptPhase,
    /// The reason why the attempt ended; `None` while it has not ended or if no reason is known.
    pub cause: Option<ExitCause>,
    /// The resources that the attempt requests, and its team. `None` if they are not known: the
    /// attempt may then belong to any team and use the whole machine.
    pub demand: Option<TaskDemand>,
    /// The description of the attempt's job; `None` if the job is unknown.
    pub desc: Option<Rc<JobDesc>>,
    /// Instant at which a heartbeat first showed the attempt running; `None` if none has.
    pub running_since: Option<Micros>,
    /// Number of responses that contained a command for the attempt since its phase last changed.
    pub(super) unacknowledged_sends: u32,
    /// The request to stop the attempt; `None` if there is none.
    stop: Option<StopRequest>,
    /// The token that was raised when the launch was abandoned; `None` if it was not. The attempt
    /// counts as lost once a heartbeat shows this token or a higher one without the attempt.
    abandonment_token: Option<FencingToken>,
    /// Whether the end of the attempt needs no further record, so that the worker may forget it.
    pub may_be_reaped: bool,
}

impl Attempt {
    /// Creates an attempt that is in `phase` now. `job` is its team and description; `None` if
    /// the job is unknown.
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
            unacknowledged_sends: 0,
            stop: None,
            abandonment_token: None,
            may_be_reaped: false,
        }
    }

    /// Returns the resources that the attempt requests, or no resources if they are not known.
    pub fn request(&self) -> Resources {
        self.demand
            .map_or(Resources::default(), |demand| demand.request)
    }

    /// Returns the image that the attempt needs, or `None` if its job is unknown.
    pub fn image(&self) -> Option<ImageKey> {
        self.desc.as_ref().map(|desc| desc.image_key())
    }

    /// Whether the attempt has ended.
    pub fn has_exited(&self) -> bool {
        self.phase == AttemptPhase::Exited
    }

    /// Whether an accepted heartbeat has shown the attempt.
    pub(super) fn is_shown(&self) -> bool {
        self.phase != AttemptPhase::Launching
    }

    /// Whether the attempt is to be stopped.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Whether the launch was abandoned before any heartbeat showed the attempt.
    pub fn is_abandoned(&self) -> bool {
        self.abandonment_token.is_some()
    }

    /// Requests that the attempt is stopped within a grace period in seconds. If a stop was
    /// requested before, the shorter grace period applies.
    pub fn request_stop(&mut self, grace_period_s: f64) {
        let stop = self.stop.get_or_insert(StopRequest {
            grace_period_s,
            is_sent: false,
        });
        stop.grace_period_s = stop.grace_period_s.min(grace_period_s);
    }

    /// Whether the attempt is still to be launched and no heartbeat has shown it.
    pub(super) fn is_launch_pending(&self) -> bool {
        self.phase == AttemptPhase::Launching && self.abandonment_token.is_none()
    }

    /// Whether the attempt is to be launched and no message has contained its launch.
    pub fn is_launch_unsent(&self) -> bool {
        self.is_launch_pending() && self.unacknowledged_sends == 0
    }

    /// Abandons the launch before any heartbeat has shown the attempt. A worker that has seen
    /// `token` drops the launch.
    pub(super) fn abandon(&mut self, token: FencingToken) {
        self.abandonment_token = Some(token);
    }

    /// Whether the launch was abandoned and a worker that has seen the token `seen` drops it.
    pub(super) fn is_fenced_by(&self, seen: FencingToken) -> bool {
        self.abandonment_token.is_some_and(|token| seen >= token)
    }

    /// Marks the command to stop the attempt as sent and returns its grace period in seconds.
    /// Returns `None` if the attempt is not to be stopped.
    pub(super) fn send_stop(&mut self) -> Option<f64> {
        let stop = self.stop.as_mut()?;
        stop.is_sent = true;
        Some(stop.grace_period_s)
    }

    /// Whether the attempt is to be stopped and no command to stop it has been sent yet.
    pub(super) fn has_unsent_stop(&self) -> bool {
        match self.phase {
            AttemptPhase::Launching | AttemptPhase::Exited | AttemptPhase::Saving => false,
            _ => self.stop.is_some_and(|stop| !stop.is_sent),
        }
    }
}
