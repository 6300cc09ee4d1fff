//! Errors in the settings file. The texts name the field, what was expected and what was found.

use super::checks::{MIN_LEASE_S, MIN_TXN_OPS};
use super::sockets::MIN_SERVED;
use crate::ids::Label;
use std::net::SocketAddrV4;

/// Reason why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read settings file {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON, or a field is missing or has the wrong type.
    #[error("settings file {path} is malformed: {source}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// Error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// A setting is invalid, contradicts another setting, or is too small to operate with.
    #[error("settings file {path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The invalid setting.
        source: InvalidSetting,
    },
}

/// A setting that is invalid, contradicts another setting, or is too small to operate with.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidSetting {
    /// The label can't be part of a key of the store.
    #[error("label must not be empty or contain a space or a slash, got \"{value}\"")]
    Label {
        /// Label in the file.
        value: Label,
    },
    /// Two listeners have the same address.
    #[error("bind and mesh_addr must differ, got {value} for both")]
    SameAddress {
        /// Address of both listeners.
        value: SocketAddrV4,
    },
    /// A seed has the label of this controller.
    #[error("seeds must list only other controllers, got this controller's label {label}")]
    SeedIsSelf {
        /// Label of this controller.
        label: Label,
    },
    /// The number of controllers is out of range.
    #[error("initial_size must be from 1 to {max}, got {value}")]
    InitialSize {
        /// Number of controllers in the file.
        value: usize,
        /// Largest allowed number of controllers.
        max: usize,
    },
    /// There is no team.
    #[error("teams must list at least one team, got none")]
    NoTeams,
    /// A quota or limit is negative or not finite.
    #[error(
        "team {team}: cpus, cpus_max, gpus and gpus_max must be finite and not negative, got \
         {value}"
    )]
    TeamAmount {
        /// Name of the team.
        team: String,
        /// First invalid amount.
        value: f64,
    },
    /// The guaranteed quota exceeds the limit.
    #[error(
        "team {team}: the guaranteed quota (cpus, gpus) must not exceed the limit (cpus_max, \
         gpus_max)"
    )]
    GuaranteeExceedsLimit {
        /// Name of the team.
        team: String,
    },
    /// Two teams have the same name.
    #[error("teams must have unique names, got {team} twice")]
    DuplicateTeam {
        /// Name of both teams.
        team: String,
    },
    /// A rate, time, size or share is not finite or not above 0.
    #[error("{field} must be a finite number above 0, got {value}")]
    NotPositive {
        /// Path of the field below `settings`.
        field: &'static str,
        /// Value of the field.
        value: f64,
    },
    /// A compare-and-swap allows too few mutations for changes that must be atomic.
    #[error("{field} must be at least {MIN_TXN_OPS}, got {value}")]
    TooFewMutations {
        /// Path of the field below `settings`.
        field: &'static str,
        /// Value of the field.
        value: usize,
    },
    /// The upcoming size of a value can't hold the largest required record.
    #[error("state.next.value_kb must allow values of at least {needed_bytes} bytes, got {bytes}")]
    NextValueTooSmall {
        /// Largest size of a value, in bytes.
        bytes: usize,
        /// Size of the largest required record, in bytes.
        needed_bytes: usize,
    },
    /// Too few sockets remain for users and workers.
    #[error(
        "limits.sockets is {value}, but users and workers need at least {MIN_SERVED} in addition \
         to {reserved} for the state service, the cloud, peers, direct commands and the process \
         itself"
    )]
    TooFewSockets {
        /// Value of `limits.sockets`.
        value: usize,
        /// Sockets reserved for all other uses.
        reserved: usize,
    },
    /// The memory limit allows too few connections.
    #[error(
        "limits.ram_mb must allow at least {MIN_SERVED} connections of users and workers, but \
         allows {connections}"
    )]
    TooLittleMemory {
        /// Number of connections that the memory limit allows.
        connections: usize,
    },
    /// The cancellation timeout exceeds the workers' lease by too little for a controller's
    /// lease.
    #[error(
        "workers.cancel_s minus workers.lease_s is {room_s} s, too little for a controller lease \
         of at least {MIN_LEASE_S} s and its safety margin"
    )]
    NoRoomForLease {
        /// Difference between the two settings, in seconds; negative if the workers' lease is
        /// the longer one.
        room_s: f64,
    },
}
