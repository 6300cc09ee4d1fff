//! The table of the file that says when a zone counts as lost, and when as back.

use super::checks::{
    MAX_PATIENCE, MIN_DETECTION_TIME, ONE_DAY, ONE_HOUR, ONE_MINUTE, ONE_SECOND, duration, number,
    refuse, span_of, text_of,
};
use super::file::Duration;
use super::{HealthSettings, SettingsError};
use rockdeal_types::clock::Micros;
use serde::Deserialize;
use toml::Spanned;

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
    pub(super) fn check(&self) -> Result<HealthSettings, SettingsError> {
        let with_times = self.check_times()?;
        let health = self.check_shares(with_times)?;
        self.check_together(&health)?;
        Ok(health)
    }

    /// The defaults with the times that are given.
    fn check_times(&self) -> Result<HealthSettings, SettingsError> {
        let default = HealthSettings::default();
        Ok(HealthSettings {
            suspect_after: duration(
                "suspect-after",
                &self.suspect_after,
                default.suspect_after,
                MIN_DETECTION_TIME..=ONE_MINUTE,
            )?,
            lost_after: duration(
                "lost-after",
                &self.lost_after,
                default.lost_after,
                ONE_SECOND..=ONE_HOUR,
            )?,
            return_after: duration(
                "return-after",
                &self.return_after,
                default.return_after,
                MIN_DETECTION_TIME..=ONE_HOUR,
            )?,
            probation: duration(
                "probation",
                &self.probation,
                default.probation,
                ONE_SECOND..=ONE_DAY,
            )?,
            max_probation: duration(
                "most-probation",
                &self.max_probation,
                default.max_probation,
                ONE_SECOND..=ONE_DAY,
            )?,
            quiet: duration("quiet", &self.quiet, default.quiet, ONE_SECOND..=ONE_DAY)?,
            probe_after: duration(
                "probe-after",
                &self.probe_after,
                default.probe_after,
                ONE_SECOND..=ONE_DAY,
            )?,
            patience: duration(
                "patience",
                &self.patience,
                default.patience,
                Micros::ZERO..=MAX_PATIENCE,
            )?,
            ..default
        })
    }

    /// The same with the shares and numbers that are given.
    fn check_shares(&self, default: HealthSettings) -> Result<HealthSettings, SettingsError> {
        Ok(HealthSettings {
            lost_share: number(
                "lost-share",
                &self.lost_share,
                default.lost_share,
                0.5..=1.0,
            )?,
            up_share: number("up-share", &self.up_share, default.up_share, 0.0..=0.5)?,
            min_machines: number(
                "least-machines",
                &self.min_machines,
                default.min_machines,
                1..=1_000,
            )?,
            ..default
        })
    }

    /// What contradicts each other.
    fn check_together(&self, health: &HealthSettings) -> Result<(), SettingsError> {
        if health.lost_after <= health.suspect_after {
            return refuse(
                span_of(&self.lost_after, &self.suspect_after),
                format!(
                    "lost-after ({}) is not above suspect-after ({})",
                    text_of(health.lost_after),
                    text_of(health.suspect_after)
                ),
                "a zone is suspect first, so choose a longer lost-after",
            );
        }
        if health.max_probation < health.probation {
            return refuse(
                span_of(&self.max_probation, &self.probation),
                format!(
                    "most-probation ({}) is below probation ({})",
                    text_of(health.max_probation),
                    text_of(health.probation)
                ),
                "choose at least as much",
            );
        }
        if health.up_share >= health.lost_share {
            return refuse(
                span_of(&self.up_share, &self.lost_share),
                "up-share is not below lost-share",
                "choose a smaller up-share",
            );
        }
        Ok(())
    }
}
