//! Why a configuration is refused.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// One fault of a configuration, with its place and remedy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{file}{}: {field}: {problem}; {remedy}", line.map(|l| format!(":{l}")).unwrap_or_default())]
pub struct ConfError {
    /// File as the operator named it, or the template it was rendered from.
    pub file: Box<str>,
    /// Line counted from 1, where known.
    pub line: Option<u32>,
    /// Field, e.g. `route[stock].service`.
    pub field: Box<str>,
    /// What is wrong.
    pub problem: Box<str>,
    /// What to do about it.
    pub remedy: Box<str>,
}

impl ConfError {
    /// Makes an error without a line.
    pub fn new(file: &str, field: impl Into<Box<str>>, problem: impl Into<Box<str>>, remedy: &str) -> Self {
        Self {
            file: file.into(),
            line: None,
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}
