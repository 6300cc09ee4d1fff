//! Zone failover: detects lost zones, orders the evacuation of their work, and moves work back
//! after a zone has recovered.
//!
//! The package opens no sockets, accesses no store and reads no clock. Controllers pass evidence,
//! records and the time to its state machines, and carry out the effects that they return:
//!
//! - [`evidence`] collects the observations that all controllers make of each zone;
//! - [`health`] derives the state of a zone from them, with hysteresis and flap damping;
//! - [`leader`] holds the states of all zones on the leader and decides when to commit their
//!   [`record`];
//! - [`view`] gives every controller the committed states that it may act on;
//! - [`evacuation`] orders displaced work and admits it in waves;
//! - [`failback`] selects running tasks to move back, which [`settings`] may restrict to a time
//!   [`window`].
//!
//! Nothing in this package decides that a task has ended. Leases, fencing tokens and the stored
//! ends of tasks decide that. A wrong decision about a zone therefore delays work, but never runs
//! a task twice.

pub mod evacuation;
pub mod evidence;
pub mod failback;
pub mod health;
pub mod leader;
pub mod record;
pub mod settings;
pub mod view;
pub mod window;
