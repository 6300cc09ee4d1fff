//! Checks of the settings that the types of the fields do not cover, one function for each
//! section of the file.

use super::{InvalidSetting, Platform, Settings, Team};

/// Shortest lease of a controller, in seconds. A shorter lease could expire while its renewal
/// waits for a busy store.
pub(super) const MIN_LEASE_S: f64 = 2.0;
/// Smallest allowed maximum of mutations in a compare-and-swap. With fewer mutations, changes
/// that must be atomic could not be written.
pub(super) const MIN_TXN_OPS: usize = 4;
/// Smallest allowed maximum size of a value, in bytes. A smaller value can't hold a job's record
/// together with the job's description.
const MIN_VALUE_BYTES: usize = 1024;
/// Bytes for each team in a partition's owner record, in addition to the team's name.
const TEAM_BYTES: usize = 3;
/// Bytes of a partition's owner record without the names of teams.
const OWNER_RECORD_BYTES: usize = 256;
/// Largest number of controllers in a deployment.
const MAX_CONTROLLERS: usize = 1000;

impl Settings {
    /// Checks the settings for what the types of the fields do not cover.
    ///
    /// # Errors
    /// Returns the first setting that is invalid, contradicts another setting, or is too small
    /// to operate with.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.check_controllers()?;
        self.platform.check_teams()?;
        self.platform.check_positive()?;
        self.platform.check_state_limits()?;
        self.socket_shares()?;
        self.check_lease()
    }

    fn check_controllers(&self) -> Result<(), InvalidSetting> {
        let label = self.label.as_str();
        if label.is_empty() || label.contains([' ', '/']) {
            let value = self.label.clone();
            return Err(InvalidSetting::Label { value });
        }
        if self.bind == self.mesh_addr {
            return Err(InvalidSetting::SameAddress { value: self.bind });
        }
        if self.seeds.iter().any(|seed| seed.label == self.label) {
            let label = self.label.clone();
            return Err(InvalidSetting::SeedIsSelf { label });
        }
        let value = self.platform.initial_size;
        if !(1..=MAX_CONTROLLERS).contains(&value) {
            let max = MAX_CONTROLLERS;
            return Err(InvalidSetting::InitialSize { value, max });
        }
        Ok(())
    }

    /// Checks that the cancellation timeout is long enough for a controller's lease. A cancelled
    /// task on an isolated machine ends only after both the owner's and the worker's lease have
    /// expired.
    fn check_lease(&self) -> Result<(), InvalidSetting> {
        let workers = &self.platform.workers;
        if self.lease_s() < MIN_LEASE_S {
            let room_s = workers.cancellation_timeout_s - workers.lease_s;
            return Err(InvalidSetting::NoRoomForLease { room_s });
        }
        Ok(())
    }
}

impl Platform {
    fn check_teams(&self) -> Result<(), InvalidSetting> {
        if self.teams.is_empty() {
            return Err(InvalidSetting::NoTeams);
        }
        for (index, team) in self.teams.iter().enumerate() {
            team.check()?;
            if self.teams[..index]
                .iter()
                .any(|other| other.name == team.name)
            {
                let team = team.name.clone();
                return Err(InvalidSetting::DuplicateTeam { team });
            }
        }
        Ok(())
    }

    fn check_positive(&self) -> Result<(), InvalidSetting> {
        let (workers, state, cloud) = (&self.workers, &self.state, &self.cloud);
        let required = [
            ("workers.report_s", workers.heartbeat_interval_s),
            ("workers.lease_s", workers.lease_s),
            ("workers.cancel_s", workers.cancellation_timeout_s),
            ("state.rps", state.rps),
            ("state.write_rps", state.write_rps),
            ("state.value_kb", state.value_kb),
            ("state.next.rps", state.lowest_rps()),
            ("state.next.write_rps", state.lowest_write_rps()),
            ("cloud.rps", cloud.rps),
            ("cloud.list_lag_s", cloud.list_lag_s),
        ];
        let optional = [
            ("limits.ram_mb", self.limits.ram_mb),
            ("limits.cpu_share", self.limits.cpu_share),
        ];
        let given = optional
            .into_iter()
            .filter_map(|(field, value)| Some((field, value?)));
        for (field, value) in required.into_iter().chain(given) {
            if !value.is_finite() || value <= 0.0 {
                return Err(InvalidSetting::NotPositive { field, value });
            }
        }
        Ok(())
    }

    fn check_state_limits(&self) -> Result<(), InvalidSetting> {
        check_txn_ops("state.txn_ops", self.state.txn_ops)?;
        if self.state.next.is_none() {
            return Ok(());
        }
        check_txn_ops("state.next.txn_ops", self.state.lowest_txn_ops())?;
        self.check_next_value_size()
    }

    /// Checks that values of the upcoming size can hold every record. Without this check, a
    /// running controller would fail to write a record once the limits change.
    fn check_next_value_size(&self) -> Result<(), InvalidSetting> {
        let bytes = self.state.lowest_value_bytes();
        let name_bytes = self.teams.iter().map(|team| team.name.len() + TEAM_BYTES);
        let owner_bytes = OWNER_RECORD_BYTES + name_bytes.sum::<usize>();
        let needed_bytes = MIN_VALUE_BYTES.max(owner_bytes);
        if bytes < needed_bytes {
            return Err(InvalidSetting::NextValueTooSmall {
                bytes,
                needed_bytes,
            });
        }
        Ok(())
    }
}

impl Team {
    fn check(&self) -> Result<(), InvalidSetting> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        let is_invalid = |amount: &f64| !amount.is_finite() || *amount < 0.0;
        if let Some(value) = amounts.into_iter().find(is_invalid) {
            let team = self.name.clone();
            return Err(InvalidSetting::TeamAmount { team, value });
        }
        if !self.guarantee().fits_in(&self.limit()) {
            let team = self.name.clone();
            return Err(InvalidSetting::GuaranteeExceedsLimit { team });
        }
        Ok(())
    }
}

fn check_txn_ops(field: &'static str, value: usize) -> Result<(), InvalidSetting> {
    if value < MIN_TXN_OPS {
        return Err(InvalidSetting::TooFewMutations { field, value });
    }
    Ok(())
}
