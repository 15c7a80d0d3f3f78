//! Log lines of the numbered event catalogue.

use roseshore_core::event::{Event, Level};

/// Logs an event as `E201 text key=value`, at its level, and counts it.
pub fn emit(event: Event, text: std::fmt::Arguments<'_>) {
    let level = match event.level() {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    log::log!(target: "roseshore", level, "{event} {text}");
    metrics::counter!("roseshore_events_total", "event" => event.to_string()).increment(1);
}

/// Logs an event of the catalogue with a formatted text; see [`emit`](crate::events::emit).
#[macro_export]
macro_rules! event {
    ($event:expr, $($text:tt)+) => {
        $crate::events::emit($event, format_args!($($text)+))
    };
}
