//! The command line: reads and checks the files that configure a controller, and starts the
//! controller. An error is printed to the standard error in one line. The exit code is 2 if the
//! arguments are invalid, and 1 if a file is invalid or the controller can't run.

use clap::{Parser, Subcommand};
use rockdeal::controller::ListenError;
use rockdeal::policy::Policy;
use rockdeal::settings::{Settings, SettingsError};
use rockdeal::subsystems::Subsystems;
use rockdeal::{controller, policy, subsystems};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid arguments, the same as clap's.
const USAGE_EXIT_CODE: u8 = 2;

/// A cluster scheduler: places tasks inside fenced, leased partitions of machines and serves the
/// team with the lowest usage relative to its guaranteed quota first.
#[derive(Parser)]
#[command(
    name = "rockdeal",
    version,
    about,
    args_conflicts_with_subcommands = true
)]
struct Cli {
    /// Run a controller with this settings file of the platform (JSON), until it is killed.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Policy file; without it, the built-in policy applies (see `rockdeal policy`).
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Subsystems file (TOML); without it, all subsystems are disabled.
    #[arg(long, value_name = "FILE")]
    subsystems: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file, and optionally a policy file and a subsystems file for it.
    Check {
        /// Settings file of the platform (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Policy file.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
        /// Subsystems file (TOML).
        #[arg(long, value_name = "FILE")]
        subsystems: Option<PathBuf>,
    },
    /// Print the built-in policy, as a template for a policy file.
    Policy,
}

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// Neither a command nor a settings file was given.
    #[error("--config FILE is needed; see rockdeal --help")]
    NoConfig,
    /// The settings file is refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy file is refused.
    #[error(transparent)]
    Policy(#[from] policy::LoadError),
    /// The built-in policy is not valid for these settings.
    #[error(transparent)]
    BuiltInPolicy(#[from] policy::lang::PolicyError),
    /// The subsystems file is refused.
    #[error(transparent)]
    Subsystems(#[from] subsystems::LoadError),
    /// The asynchronous runtime can't be started.
    #[error("can't start the asynchronous runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The controller can't listen on its addresses.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::NoConfig => ExitCode::from(USAGE_EXIT_CODE),
            _ => ExitCode::FAILURE,
        }
    }
}

/// Paths of the files that configure a controller.
struct ConfigurationFiles {
    config: PathBuf,
    policy: Option<PathBuf>,
    subsystems: Option<PathBuf>,
}

/// Checked contents of the configuration files.
struct Configuration {
    settings: Settings,
    policy: Policy,
    subsystems: Subsystems,
}

impl ConfigurationFiles {
    fn load(&self) -> Result<Configuration, CommandError> {
        let settings = Settings::load(&self.config)?;
        let policy = match &self.policy {
            Some(file) => Policy::load(file, &settings)?,
            None => Policy::built_in(&settings)?,
        };
        let subsystems = match &self.subsystems {
            Some(file) => Subsystems::load(file, &settings)?,
            None => Subsystems::default(),
        };
        Ok(Configuration {
            settings,
            policy,
            subsystems,
        })
    }

    /// Checks the files, and prints one line with the length of a lease, the number of partitions
    /// and the enabled subsystems.
    fn check(&self) -> Result<(), CommandError> {
        let Configuration {
            settings,
            policy,
            subsystems,
        } = self.load()?;
        println!(
            "{}: fine; a block's lease is {} s; blocks: {}{}",
            self.config.display(),
            settings.lease().as_secs(),
            policy.partition_count(&settings),
            subsystems_suffix(&subsystems)
        );
        Ok(())
    }
}

/// Returns the part of the line printed by `check` that lists the enabled subsystems.
fn subsystems_suffix(subsystems: &Subsystems) -> String {
    match subsystems.names().as_slice() {
        [] => String::new(),
        names => format!("; on: {}", names.join(", ")),
    }
}

/// Starts logging to the standard error. The environment variable `LOG_LEVEL` selects the level:
/// `debug` or `info`; any other value selects errors only.
fn start_logging() {
    use tracing_subscriber::filter::LevelFilter;
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("info") => LevelFilter::INFO,
        _ => LevelFilter::ERROR,
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
}

/// Runs a controller until it is killed.
fn run_controller(configuration: Configuration) -> Result<(), CommandError> {
    let Configuration {
        settings,
        policy,
        subsystems,
    } = configuration;
    start_logging();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    let tasks = tokio::task::LocalSet::new();
    let controller = controller::run(settings, policy, subsystems);
    Ok(runtime.block_on(tasks.run_until(controller))?)
}

fn execute(cli: Cli) -> Result<(), CommandError> {
    match cli.command {
        Some(Command::Check {
            config,
            policy,
            subsystems,
        }) => ConfigurationFiles {
            config,
            policy,
            subsystems,
        }
        .check(),
        Some(Command::Policy) => {
            print!("{}", policy::DEFAULT);
            Ok(())
        }
        None => {
            let files = ConfigurationFiles {
                config: cli.config.ok_or(CommandError::NoConfig)?,
                policy: cli.policy,
                subsystems: cli.subsystems,
            };
            run_controller(files.load()?)
        }
    }
}

fn main() -> ExitCode {
    match execute(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rockdeal: {error}");
            error.exit_code()
        }
    }
}
