//! The `head` row: the one place where the configuration in force is agreed.

use base::Version;
use serde::{Deserialize, Serialize};

/// Key of the head row.
pub const HEAD_KEY: &str = "fleet/head";

/// Content of the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration.
    pub version: Version,
    /// Name of the root object.
    pub root: Box<str>,
    /// Hexadecimal id of the change that made it.
    pub change: Box<str>,
}
