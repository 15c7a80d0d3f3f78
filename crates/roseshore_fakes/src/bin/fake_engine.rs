//! The fake model engine as a program; prints `listening ADDR` once it serves.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use roseshore_core::prelude::*;
use roseshore_fakes::engine::{EngineFake, EngineSettings, ExitMode};
use roseshore_wire::engine::Role;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;

fn main() -> std::io::Result<()> {
    let args = command().get_matches();
    let fake = EngineFake::start(settings(&args))?;
    println!("listening {}", fake.addr());
    std::io::stdout().flush()?;
    loop {
        thread::park();
    }
}

fn command() -> Command {
    Command::new("fake_engine").about("Fake model engine that holds a range of layers").args(vec![
        text("listen", "Address to listen on; port 0 for any").default_value("127.0.0.1:0"),
        text("target", "Name of the target").default_value("engine"),
        text("model", "Model loaded at the start"),
        text("version", "Version of the weights"),
        text("layers", "First layer and one past the last").default_value("0-0"),
        text("adapter", "Adapter loaded at the start").action(ArgAction::Append),
        text("role", "Stages served")
            .value_parser(["both", "prefill", "decode"])
            .default_value("both"),
        text("weights", "Address of the weight store that loads fetch from"),
        number("incarnation", "Incarnation number", "1"),
        number("step-us", "Duration of one step, microseconds", "500"),
        number("slots", "Steps that run at once", "8"),
        number("max-running", "Limit on concurrent answers", "256"),
        number("prefill-rate", "Prefill rate, tokens a second", "100000"),
        number("kv-cap", "KV cache, tokens", "1048576"),
        number("kv-bytes", "Bytes of KV cache of one token", "1024"),
        number("link-us", "Delay of the link to the next stage, microseconds", "0"),
        number("link-rate", "Rate of the link for KV caches, bytes a second", "1000000000"),
        number("hop-ms", "Timeout for the next stage, milliseconds", "10000"),
        number("cache-cap", "Prefix cache, tokens", "65536"),
        number("cache-block", "Tokens of one block of the prefix cache", "16"),
        number("cache-lag-ms", "Delay of cache events, milliseconds", "0"),
        number("cache-keep", "Cache events that are kept", "1024"),
        number("load-lag-ms", "Maximum age of a load report, milliseconds", "0"),
        number("load-ms", "Duration of a load without the weight store's part, milliseconds", "0"),
        number("layer-bytes", "Bytes of the weights of one layer", "67108864"),
        Arg::new("checks-fence")
            .long("checks-fence")
            .help("Refuse orders with an outdated fencing number")
            .action(ArgAction::SetTrue),
    ])
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    text(name, help).value_parser(value_parser!(u64)).default_value(default)
}

fn settings(args: &ArgMatches) -> EngineSettings {
    let word = |name: &str| args.get_one::<String>(name).cloned();
    let count = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
    let millis = |name: &str| Duration::from_millis(count(name));
    EngineSettings {
        bind: addr(args, "listen").unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
        target: word("target").unwrap_or_default(),
        incarnation: count("incarnation"),
        model: word("model"),
        version: word("version"),
        layers: layers(&word("layers").unwrap_or_default()),
        adapters: args.get_many::<String>("adapter").into_iter().flatten().cloned().collect(),
        role: role(&word("role").unwrap_or_default()),
        step: Duration::from_micros(count("step-us")),
        slots: count("slots") as u32,
        max_running: count("max-running") as u32,
        prefill_rate: count("prefill-rate").max(1) as f64,
        kv_cap: count("kv-cap"),
        kv_bytes: count("kv-bytes"),
        link_delay: Duration::from_micros(count("link-us")),
        link_rate: count("link-rate").max(1) as f64,
        hop_timeout: millis("hop-ms"),
        cache_cap: count("cache-cap"),
        cache_block: count("cache-block") as u32,
        cache_lag: millis("cache-lag-ms"),
        cache_keep: count("cache-keep") as usize,
        load_lag: millis("load-lag-ms"),
        checks_fence: args.get_flag("checks-fence"),
        load_time: millis("load-ms"),
        layer_bytes: count("layer-bytes"),
        weights: addr(args, "weights"),
        exit_mode: ExitMode::Exit,
    }
}

fn addr(args: &ArgMatches, name: &str) -> Option<SocketAddr> {
    let text = args.get_one::<String>(name)?;
    Some(
        text.parse().unwrap_or_else(|_| {
            fail(&format!("`--{name}` needs an address such as `127.0.0.1:0`"))
        }),
    )
}

fn layers(text: &str) -> (Layer, Layer) {
    let parts = text.split_once('-').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    parts.unwrap_or_else(|| fail("`--layers` needs a range such as `0-8`"))
}

fn role(text: &str) -> Role {
    match text {
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        _ => Role::Both,
    }
}

fn fail(why: &str) -> ! {
    command().error(clap::error::ErrorKind::ValueValidation, why).exit()
}
