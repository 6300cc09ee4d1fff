//! Why a settings file is refused.

use super::checks::{MIN_LEASE_S, MIN_TXN_OPS};
use super::sockets::MIN_SERVED;
use crate::ids::Label;
use std::net::SocketAddrV4;

/// Why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It can't be read.
    #[error("can't read settings file {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// It is not JSON, or a field is missing or of the wrong type.
    #[error("settings file {path} is malformed: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// What is wrong, and where.
        source: serde_json::Error,
    },
    /// A setting is invalid, contradicts another, or leaves too little to work with.
    #[error("settings file {path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong.
        source: InvalidSetting,
    },
}

/// A setting that is invalid, contradicts another, or leaves too little to work with. The
/// text names the field and what it has to be; the variants carry the value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidSetting {
    /// The label can't be part of a key.
    #[error("label is empty, or has a space or a slash")]
    Label {
        /// The label.
        value: Label,
    },
    /// Two listeners share an address.
    #[error("bind and mesh_addr are the same")]
    SameAddress {
        /// The address.
        value: SocketAddrV4,
    },
    /// A seed has the label of this controller.
    #[error("seeds name this controller itself, {label}")]
    SeedIsSelf {
        /// The label.
        label: Label,
    },
    /// The number of controllers is out of range.
    #[error("initial_size must be from 1 to {max}")]
    InitialSize {
        /// The number.
        value: usize,
        /// The largest that is allowed.
        max: usize,
    },
    /// There is no team.
    #[error("teams is empty")]
    NoTeams,
    /// A quota or limit is negative or not finite.
    #[error("team {team}: amounts must be finite and not negative")]
    TeamAmount {
        /// The team's name.
        team: String,
        /// The amount.
        value: f64,
    },
    /// The guaranteed quota exceeds the limit.
    #[error("team {team}: more is guaranteed than its limit allows")]
    GuaranteeExceedsLimit {
        /// The team's name.
        team: String,
    },
    /// Two teams have the same name.
    #[error("team {team} is listed twice")]
    DuplicateTeam {
        /// The team's name.
        team: String,
    },
    /// A rate, time, size or share is not above 0.
    #[error("{field} must be above 0")]
    NotPositive {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A compare-and-swap could not record what belongs together.
    #[error("{field} must be at least {MIN_TXN_OPS}")]
    TooFewMutations {
        /// The field.
        field: &'static str,
        /// Its value.
        value: usize,
    },
    /// The coming size of a value can't hold the records that are needed.
    #[error("state.next.value_kb leaves {bytes} bytes for a value, and {needed_bytes} are needed")]
    NextValueTooSmall {
        /// What a value may hold.
        bytes: usize,
        /// What the largest of these records takes.
        needed_bytes: usize,
    },
    /// Too few sockets are left for users and workers.
    #[error(
        "limits.sockets is {value}, too few to serve users and workers beside {reserved} for the \
         state service, the cloud, peers and direct commands"
    )]
    TooFewSockets {
        /// The limit.
        value: usize,
        /// What the other shares take.
        reserved: usize,
    },
    /// Memory holds too few connections.
    #[error(
        "limits.ram_mb leaves room for {connections} connections; at least {MIN_SERVED} are needed"
    )]
    TooLittleMemory {
        /// How many it holds.
        connections: usize,
    },
    /// The cancellation timeout leaves no time for a lease beyond the workers'.
    #[error(
        "workers.cancel_s leaves {room_s} s beyond workers.lease_s, which is no room for a lease \
         of {MIN_LEASE_S} s"
    )]
    NoRoomForLease {
        /// What it leaves, in seconds.
        room_s: f64,
    },
}
