//! Declarations in TOML.
