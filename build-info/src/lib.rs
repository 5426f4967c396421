//! What the programs were built from, so that a log or a command line tells which build ran.

/// Version, commit and target of this build. The commit is that of the last checkout; later edits are not shown.
pub const BUILD: &str =
    concat!(env!("CARGO_PKG_VERSION"), " (", env!("PORTSPOKE_COMMIT"), ", ", env!("PORTSPOKE_TARGET"), ")");
