//! Zone failover: which zones are lost, in which order their work is moved elsewhere, and
//! how it is brought back.
//!
//! The package has no socket, no store and reads no clock. Controllers feed its cores with
//! evidence, records and the time, and carry out what comes back:
//!
//! - [`evidence`] collects what every controller sees of each zone;
//! - [`health`] turns that into a state with hysteresis and flap damping;
//! - [`leader`] keeps the states of all zones under one leadership and says when to commit
//!   their [`record`];
//! - [`view`] is what a controller may rely on of the committed record;
//! - [`evacuation`] orders displaced work and admits it in waves;
//! - [`failback`] chooses running work to move back, inside a [`window`] of time.
//!
//! Nothing here decides that a task has ended. That stays with leases, fencing tokens and the
//! stored ends: a wrong opinion about a zone costs time, and never runs a task twice.

pub mod evacuation;
pub mod evidence;
pub mod failback;
pub mod health;
pub mod leader;
pub mod record;
pub mod settings;
pub mod view;
pub mod window;
