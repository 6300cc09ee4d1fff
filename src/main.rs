//! The command line: reads the files that a controller runs by, and hands over to the
//! library. Errors are printed in one line; the exit code is 2 where the arguments are wrong
//! and 1 where a file is, or where the controller can't run.

use clap::{Parser, Subcommand};
use rockdeal::controller::ListenError;
use rockdeal::policy::Policy;
use rockdeal::settings::{Settings, SettingsError};
use rockdeal::subsystems::Subsystems;
use rockdeal::{controller, policy, subsystems};
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code for arguments that can't be carried out, as clap's own.
const USAGE_EXIT_CODE: u8 = 2;

/// A cluster scheduler: places work lightest team first inside fenced, leased
/// partitions of machines.
#[derive(Parser)]
#[command(
    name = "rockdeal",
    version,
    about,
    args_conflicts_with_subcommands = true
)]
struct Cli {
    /// The platform's settings file (JSON); runs a controller until killed.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' policy; `rockdeal policy` prints the one that is built in.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// The subsystems that are on (TOML); without it all are off.
    #[arg(long, value_name = "FILE")]
    subsystems: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file, and a policy for it, and say what is wrong with them.
    Check {
        /// The platform's settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The operators' policy.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
        /// The subsystems that are on (TOML).
        #[arg(long, value_name = "FILE")]
        subsystems: Option<PathBuf>,
    },
    /// Print the policy that is built in, to start one's own from.
    Policy,
}

/// Why the command failed.
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
    /// The policy that is built in does not suit the settings.
    #[error(transparent)]
    StandardPolicy(#[from] policy::lang::PolicyError),
    /// The subsystems file is refused.
    #[error(transparent)]
    Subsystems(#[from] subsystems::LoadError),
    /// The system gives no runtime.
    #[error("can't start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The controller can't listen.
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

/// The files that a controller runs by.
struct Files {
    config: PathBuf,
    policy: Option<PathBuf>,
    subsystems: Option<PathBuf>,
}

/// The contents of the files, checked.
struct Configuration {
    settings: Settings,
    policy: Policy,
    subsystems: Subsystems,
}

impl Files {
    fn load(&self) -> Result<Configuration, CommandError> {
        let settings = Settings::load(&self.config)?;
        let policy = match &self.policy {
            Some(file) => Policy::load(file, &settings)?,
            None => Policy::standard(&settings)?,
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

    /// Checks the files, and prints in one line what follows from them.
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

/// The subsystems that are on, for the line that a check prints.
fn subsystems_suffix(subsystems: &Subsystems) -> String {
    match subsystems.names().as_slice() {
        [] => String::new(),
        names => format!("; on: {}", names.join(", ")),
    }
}

/// Logs to the standard error, from the level that `LOG_LEVEL` names on.
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
        }) => Files {
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
            let files = Files {
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
