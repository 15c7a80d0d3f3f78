//! The daemon's process: reads the settings, sets up logging, starts the components and waits for a
//! signal.

use roseshore_core::prelude::*;
use roseshored::daemon::Daemon;
use roseshored::settings::{Settings, SettingsError};
use roseshored::{drain, entry, event};
use simplelog::{Config, ConfigBuilder, SimpleLogger};
use std::process::ExitCode;

/// Exit status for invalid settings.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    if std::env::args().nth(1).is_some_and(|arg| arg == entry::SUBCOMMAND) {
        return entry::main(std::env::args().skip(2));
    }
    let settings = match Settings::read(std::env::args()) {
        Ok(settings) => settings,
        Err(SettingsError::Usage(err)) => err.exit(),
        Err(err) => {
            eprintln!("{} {err}", Event::BadSettings);
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if settings.check {
        println!("the settings can be used");
        return ExitCode::SUCCESS;
    }
    init_log(&settings);
    log_panics();
    match run(&settings) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("roseshored cannot start: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: &Settings) -> Result<usize, Box<dyn std::error::Error>> {
    let stop = drain::watch_signals()?;
    let daemon = Daemon::start(settings)?;
    let running = roseshored::start(settings, daemon.app.clone(), Some(daemon.admin_api.clone()))?;
    let _ = stop.recv();
    let cut = running.finish();
    daemon.stop();
    Ok(cut)
}

fn init_log(settings: &Settings) {
    let config = if settings.bare_log {
        let mut builder = ConfigBuilder::new();
        builder.set_time_level(log::LevelFilter::Off).set_max_level(log::LevelFilter::Off);
        builder.build()
    } else {
        Config::default()
    };
    // An error means that a logger is already installed, which is kept.
    let _ = SimpleLogger::init(settings.log_level, config);
}

/// Logs every panic with the name of its thread, so that none goes unnoticed.
fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        let thread = std::thread::current();
        event!(Event::ThreadLost, "thread={} {info}", thread.name().unwrap_or("?"));
    }));
}
