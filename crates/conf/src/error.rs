//! The error that a refused configuration causes.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A fault of a configuration, with its position and remedy.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{file}{}: {field}: {problem}; {remedy}", line.map(|l| format!(":{l}")).unwrap_or_default())]
pub struct ConfError {
    /// File as the operator named it; `configuration` if the fault is not traced to a file; for rendered
    /// text, its template and customer.
    pub file: Box<str>,
    /// Line in the file, counted from 1; `None` if unknown.
    pub line: Option<u32>,
    /// Faulty field, e.g. `route[stock].service`.
    pub field: Box<str>,
    /// What is wrong with the field.
    pub problem: Box<str>,
    /// What the operator can do about it.
    pub remedy: Box<str>,
}

impl ConfError {
    /// Makes an error whose line is not known.
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
