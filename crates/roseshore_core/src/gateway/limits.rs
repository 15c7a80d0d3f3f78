//! Limits that targets name for all hosts together.

/// What an answer says of its target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Naming {
    /// It names none.
    #[default]
    None,
    /// Requests a second that the target takes from all hosts together; finite, not negative.
    Limit(f64),
    /// It names something that cannot be read, which says neither that there is a limit nor that there is none.
    Unreadable,
}
