//! The daemon as an entry host on the users' platform: `roseshored entry`.
//!
//! Settings come from a file that the platform provides. A flag or environment variable gives its
//! path, and another one the port of the metrics.

use clap::{Arg, ArgMatches, Command, value_parser};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use quick_error::quick_error;
use roseshore_adapters::clock::BootClock;
use roseshore_platform::{BOOT_VARIABLE, Platform, read_boot};
use roseshore_ports::entry::WireError;
use roseshore_relay::entry::{EntryHost, EntryOptions};
use roseshore_relay::net::DirectDial;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// The first argument that selects this mode.
pub const SUBCOMMAND: &str = "entry";

/// Path of the settings file if neither flag nor variable gives one.
const DEFAULT_PATH: &str = "/etc/roseshore/boot.toml";
/// Exit status for invalid settings.
const INVALID_SETTINGS: u8 = 2;
/// Upper bounds of the latency histograms, seconds: from forwarding one event to a caller's deadline.
const BUCKETS: &[f64] =
    &[0.001, 0.003, 0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

quick_error! {
    /// Why the daemon cannot run.
    #[derive(Debug)]
    pub enum EntryError {
        /// The settings are invalid.
        Settings(err: WireError) {
            display("{err}")
        }
        /// A socket or signal handler cannot be set up.
        Io(err: std::io::Error) {
            display("the daemon cannot run: {err}")
            source(err)
            from()
        }
        /// The metrics cannot be set up.
        Metrics(err: metrics_exporter_prometheus::BuildError) {
            display("cannot set up metrics: {err}")
            source(err)
            from()
        }
    }
}

fn command() -> Command {
    Command::new("roseshored entry")
        .about("Serves declared routes on the users' platform")
        .arg(
            Arg::new("boot")
                .long("boot")
                .env(BOOT_VARIABLE)
                .value_parser(value_parser!(PathBuf))
                .default_value(DEFAULT_PATH)
                .help("path of the settings file"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("ROSESHORE_METRICS_PORT")
                .value_parser(value_parser!(u16))
                .help("serve metrics on this port of the callers' address"),
        )
        .arg(Arg::new("check").long("check").num_args(0).help("check the settings and exit"))
}

/// Runs this mode with the arguments that follow [`SUBCOMMAND`].
pub fn main(args: impl Iterator<Item = String>) -> ExitCode {
    let name = std::iter::once("roseshored entry".to_owned());
    let matches = command().get_matches_from(name.chain(args));
    match run(&matches) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(EntryError::Settings(err)) => {
            println!("0 {} {err}", roseshore_core::event::Event::BadSettings);
            ExitCode::from(INVALID_SETTINGS)
        }
        Err(err) => {
            println!("0 {} {err}", roseshore_core::event::Event::BadSettings);
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> Result<usize, EntryError> {
    let path: PathBuf = matches.get_one::<PathBuf>("boot").cloned().unwrap_or_default();
    let settings = read_boot(&path).map_err(EntryError::Settings)?;
    if matches.get_flag("check") {
        println!("the settings can be used");
        return Ok(0);
    }
    let (stop, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    signal_hook::flag::register(SIGTERM, stop.clone())?;
    signal_hook::flag::register(SIGHUP, reload.clone())?;
    let handle = recorder()?;
    let port = matches.get_one::<u16>("metrics-port").copied();
    let metrics_addr = port.map(|port| SocketAddr::new(settings.caller_addr.ip(), port));
    let read_settings = Box::new(move || read_boot(&path));
    let platform = Box::new(Platform);
    let (clock, dial, quiet) = (Box::new(BootClock::new()), Box::new(DirectDial), false);
    let options = EntryOptions {
        settings,
        read_settings,
        platform,
        clock,
        dial,
        metrics: Some(handle),
        metrics_addr,
        stop,
        reload,
        quiet,
    };
    let mut entry = EntryHost::new(options)?;
    Ok(entry.run()?)
}

fn recorder() -> Result<PrometheusHandle, EntryError> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), BUCKETS)?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // An error means that the embedding process has installed its own recorder, which is kept.
    let _ = metrics::set_global_recorder(recorder);
    Ok(handle)
}
