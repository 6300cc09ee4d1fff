//! The table `health` of the file: the durations and thresholds that determine when a zone is lost
//! and when it has recovered.

use super::checks::{
    MAX_PATIENCE, MIN_DETECTION_TIME, ONE_DAY, ONE_HOUR, ONE_MINUTE, ONE_SECOND, duration_in_range,
    format_seconds, number_in_range, refuse, span_of_first_given,
};
use super::file::Duration;
use super::{HealthSettings, SettingsError};
use rockdeal_types::clock::Micros;
use serde::Deserialize;
use toml::Spanned;

/// The table `health` as it is written in the file, not yet checked.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawHealth {
    suspect_after: Option<Spanned<Duration>>,
    lost_after: Option<Spanned<Duration>>,
    return_after: Option<Spanned<Duration>>,
    probation: Option<Spanned<Duration>>,
    #[serde(rename = "most-probation")]
    max_probation: Option<Spanned<Duration>>,
    quiet: Option<Spanned<Duration>>,
    probe_after: Option<Spanned<Duration>>,
    patience: Option<Spanned<Duration>>,
    lost_share: Option<Spanned<f64>>,
    up_share: Option<Spanned<f64>>,
    #[serde(rename = "least-machines")]
    min_machines: Option<Spanned<u32>>,
}

impl RawHealth {
    /// Checks every setting in the table, and that they are consistent with each other.
    pub(super) fn check(&self) -> Result<HealthSettings, SettingsError> {
        let with_durations = self.check_durations()?;
        let health = self.check_thresholds(with_durations)?;
        self.check_consistency(&health)?;
        Ok(health)
    }

    /// Checks the given durations. Returns the default settings with these durations.
    fn check_durations(&self) -> Result<HealthSettings, SettingsError> {
        let default = HealthSettings::default();
        Ok(HealthSettings {
            suspect_after: duration_in_range(
                "suspect-after",
                &self.suspect_after,
                default.suspect_after,
                MIN_DETECTION_TIME..=ONE_MINUTE,
            )?,
            lost_after: duration_in_range(
                "lost-after",
                &self.lost_after,
                default.lost_after,
                ONE_SECOND..=ONE_HOUR,
            )?,
            return_after: duration_in_range(
                "return-after",
                &self.return_after,
                default.return_after,
                MIN_DETECTION_TIME..=ONE_HOUR,
            )?,
            probation: duration_in_range(
                "probation",
                &self.probation,
                default.probation,
                ONE_SECOND..=ONE_DAY,
            )?,
            max_probation: duration_in_range(
                "most-probation",
                &self.max_probation,
                default.max_probation,
                ONE_SECOND..=ONE_DAY,
            )?,
            quiet: duration_in_range("quiet", &self.quiet, default.quiet, ONE_SECOND..=ONE_DAY)?,
            probe_after: duration_in_range(
                "probe-after",
                &self.probe_after,
                default.probe_after,
                ONE_SECOND..=ONE_DAY,
            )?,
            patience: duration_in_range(
                "patience",
                &self.patience,
                default.patience,
                Micros::ZERO..=MAX_PATIENCE,
            )?,
            ..default
        })
    }

    /// Checks the given shares and numbers. Returns `default` with these values.
    fn check_thresholds(&self, default: HealthSettings) -> Result<HealthSettings, SettingsError> {
        Ok(HealthSettings {
            lost_share: number_in_range(
                "lost-share",
                &self.lost_share,
                default.lost_share,
                0.5..=1.0,
            )?,
            up_share: number_in_range("up-share", &self.up_share, default.up_share, 0.0..=0.5)?,
            min_machines: number_in_range(
                "least-machines",
                &self.min_machines,
                default.min_machines,
                1..=1_000,
            )?,
            ..default
        })
    }

    /// Checks that no two settings contradict each other. Takes defaults into account.
    fn check_consistency(&self, health: &HealthSettings) -> Result<(), SettingsError> {
        if health.lost_after <= health.suspect_after {
            return refuse(
                span_of_first_given(&self.lost_after, &self.suspect_after),
                format!(
                    "lost-after ({}) is not longer than suspect-after ({})",
                    format_seconds(health.lost_after),
                    format_seconds(health.suspect_after)
                ),
                "a zone must be suspect before it is lost, so choose a longer lost-after",
            );
        }
        if health.max_probation < health.probation {
            return refuse(
                span_of_first_given(&self.max_probation, &self.probation),
                format!(
                    "most-probation ({}) is shorter than probation ({})",
                    format_seconds(health.max_probation),
                    format_seconds(health.probation)
                ),
                "choose a most-probation that is at least as long as probation",
            );
        }
        if health.up_share >= health.lost_share {
            return refuse(
                span_of_first_given(&self.up_share, &self.lost_share),
                format!(
                    "up-share ({}) is not below lost-share ({})",
                    health.up_share, health.lost_share
                ),
                "choose a smaller up-share",
            );
        }
        Ok(())
    }
}
