//! Changes of a configuration: a whole new source, or a key given or withdrawn.

use conf::ConfError;
use conf::source::{KeySource, Source};
use serde::Deserialize;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Replaces everything but the keys, which are given and withdrawn on their own.
    Replace(Box<Source>),
    /// Adds a key.
    Give(KeySource),
    /// Removes a key.
    Withdraw(Box<str>),
}

/// Body of the call that gives a key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GiveKey {
    /// Name under which the key is withdrawn.
    pub name: Box<str>,
    /// Customer.
    pub customer: Box<str>,
    /// Seconds since the epoch after which the key is refused.
    #[serde(default)]
    pub expires: Option<u64>,
}

/// Applies an edit to a source.
///
/// # Errors
/// Fails when a key's name is taken or not known.
pub fn apply(source: &Source, edit: &Edit) -> Result<Source, ConfError> {
    let mut next = source.clone();
    match edit {
        Edit::Replace(new) => {
            let keys = std::mem::take(&mut next.key);
            next = (**new).clone();
            let named: Vec<_> = next.key.iter().map(|k| k.name.clone()).collect();
            next.key.extend(keys.into_iter().filter(|k| !named.contains(&k.name)));
        }
        Edit::Give(key) => {
            if next.key.iter().any(|k| k.name == key.name) {
                let field = format!("key[{}].name", key.name);
                return Err(ConfError::new("keys", field, "name used twice", "choose another name"));
            }
            next.key.push(key.clone());
        }
        Edit::Withdraw(name) => {
            let before = next.key.len();
            next.key.retain(|k| k.name != *name);
            if next.key.len() == before {
                let field = format!("key[{name}]");
                return Err(ConfError::new("keys", field, "no such key", "see `pomeloctl keys list`"));
            }
        }
    }
    Ok(next)
}
