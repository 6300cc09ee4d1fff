//! The events of random worker histories, and how often each of them is drawn.

/// An event of a history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Event {
    /// A worker's process restarts, after the network has held back its last heartbeats.
    WorkerRestart,
    /// A fault of a worker or of its links begins.
    Fault(Fault),
    /// Direct commands begin or cease to be held back.
    HeldCommands,
    /// A direct command that was held back arrives.
    LateCommand,
    /// Copies of all direct commands that the worker's process has executed arrive.
    CommandCopies,
    /// A copy of a heartbeat, or one that was held back across a restart, arrives late.
    LateHeartbeat,
    /// A user submits a job.
    Submission,
    /// A user cancels a job.
    Cancellation,
    /// All running tasks of a worker complete.
    Completion,
    /// All running tasks of a worker fail.
    Failure,
    /// A controller restarts.
    ControllerRestart,
}

/// A fault of a worker or of its links, which lasts for some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// Heartbeats are lost.
    Heartbeats,
    /// Answers to direct commands are lost.
    CommandAnswers,
    /// Direct commands and answers to heartbeats are lost.
    Commands,
    /// All messages are lost.
    Isolation,
}

/// The events from which a history is drawn, each with its weight.
pub(super) const EVENT_WEIGHTS: [(Event, u32); 14] = [
    (Event::WorkerRestart, 6),
    (Event::Fault(Fault::Heartbeats), 5),
    (Event::Fault(Fault::CommandAnswers), 2),
    (Event::Fault(Fault::Commands), 1),
    (Event::Fault(Fault::Isolation), 1),
    (Event::HeldCommands, 1),
    (Event::LateCommand, 2),
    (Event::CommandCopies, 4),
    (Event::LateHeartbeat, 6),
    (Event::Submission, 6),
    (Event::Cancellation, 1),
    (Event::Completion, 3),
    (Event::Failure, 4),
    (Event::ControllerRestart, 1),
];
