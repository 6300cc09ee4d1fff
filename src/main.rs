//! The command line: reads settings, then hands over to the library.

use clap::{Parser, Subcommand};
use rockdeal::policy::Policy;
use rockdeal::settings::Settings;
use rockdeal::subsystems::Subsystems;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

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

fn log() {
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

/// The files that a controller runs by.
struct Files {
    config: PathBuf,
    policy: Option<PathBuf>,
    subsystems: Option<PathBuf>,
}

/// What the files say, checked.
struct Checked {
    settings: Settings,
    policy: Policy,
    subsystems: Subsystems,
}

impl Files {
    fn load(&self) -> Result<Checked, Box<dyn Error>> {
        let settings = Settings::load(&self.config)?;
        let policy = match &self.policy {
            Some(file) => Policy::load(file, &settings)?,
            None => Policy::standard(&settings)?,
        };
        let subsystems = match &self.subsystems {
            Some(file) => Subsystems::load(file, &settings)?,
            None => Subsystems::default(),
        };
        Ok(Checked {
            settings,
            policy,
            subsystems,
        })
    }
}

/// The subsystems that are on, for the line that a check prints.
fn describe(subsystems: &Subsystems) -> String {
    match subsystems.names().as_slice() {
        [] => String::new(),
        names => format!("; on: {}", names.join(", ")),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let files = |config, policy, subsystems| Files {
        config,
        policy,
        subsystems,
    };
    let (files, only_check) = match (cli.config, cli.command) {
        (
            _,
            Some(Command::Check {
                config,
                policy,
                subsystems,
            }),
        ) => (files(config, policy, subsystems), true),
        (_, Some(Command::Policy)) => {
            print!("{}", rockdeal::policy::DEFAULT);
            return ExitCode::SUCCESS;
        }
        (Some(config), None) => (files(config, cli.policy, cli.subsystems), false),
        (None, None) => {
            eprintln!("rockdeal: --config FILE is needed; see rockdeal --help");
            return ExitCode::from(2);
        }
    };
    let checked = match files.load() {
        Ok(checked) => checked,
        Err(e) => {
            eprintln!("rockdeal: {e}");
            return ExitCode::FAILURE;
        }
    };
    let Checked {
        settings,
        policy,
        subsystems,
    } = checked;
    if only_check {
        println!(
            "{}: fine; a block's lease is {} s; blocks: {}{}",
            files.config.display(),
            settings.lease().as_secs(),
            policy.partition_count(&settings),
            describe(&subsystems)
        );
        return ExitCode::SUCCESS;
    }
    log();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(r) => r,
        Err(e) => {
            eprintln!("rockdeal: can't start the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    match runtime.block_on(local.run_until(rockdeal::controller::run(settings, policy, subsystems)))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("rockdeal: {e}");
            ExitCode::FAILURE
        }
    }
}
