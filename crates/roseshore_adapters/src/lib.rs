//! To be written by its owner.
