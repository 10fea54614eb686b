//! Edits: the changes of the configuration that operators may request.

use base::{CustomerId, Version};
use conf::shard::shard_of;
use conf::source::{CustomerSource, KeySource};
use conf::{ConfError, Config, Tombstone};
use serde::Deserialize;
use wire::conf::Withdrawal;

/// Time for which a withdrawn key's tombstone is kept in the configuration, in milliseconds.
pub const TOMBSTONE_RETENTION_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// A change that an operator requests.
#[derive(Clone, Debug)]
pub enum Edit {
    /// Replaces everything but keys, which are added and withdrawn separately.
    Replace(Box<Config>),
    /// Replaces everything but keys by the content of an earlier version.
    Rollback(Version),
    /// Adds or replaces a customer.
    PutCustomer(Box<CustomerSource>),
    /// Removes a customer and withdraws its keys.
    RemoveCustomer(CustomerId),
    /// Adds a key.
    AddKey(KeySource),
    /// Removes keys and leaves tombstones, so that they can't be added again while these are kept.
    WithdrawKeys(Vec<Withdrawal>),
}

impl Edit {
    /// Name of the kind of change in the history.
    pub fn history_label(&self) -> &'static str {
        match self {
            Self::Replace(_) => "apply",
            Self::Rollback(_) => "rollback",
            Self::PutCustomer(_) => "put customer",
            Self::RemoveCustomer(_) => "remove customer",
            Self::AddKey(_) => "give key",
            Self::WithdrawKeys(_) => "withdraw key",
        }
    }

    /// Whether the edit may be applied on top of any version, so that it is retried after a conflict.
    pub fn can_be_rebased(&self) -> bool {
        !matches!(self, Self::Replace(_) | Self::Rollback(_))
    }
}

/// JSON body of the API call that adds a key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddKeyRequest {
    /// Name under which the key is withdrawn.
    pub name: Box<str>,
    /// Customer to whom the key belongs.
    pub customer: Box<str>,
    /// Time after which the key is refused, seconds since the epoch; `None` if it doesn't expire.
    #[serde(default)]
    pub expires: Option<u64>,
}

/// Applies an edit. An [`Edit::Rollback`] must be made an [`Edit::Replace`] before, by loading the earlier
/// version.
///
/// # Errors
/// Fails if a name is already used or unknown.
pub fn apply_edit(config: &Config, edit: &Edit, wall_ms: u64) -> Result<Config, ConfError> {
    let mut next = config.clone();
    match edit {
        Edit::Replace(new) => next = config.replaced_by(new),
        Edit::Rollback(version) => {
            let field = format!("version {version}");
            return Err(ConfError::new("history", field, "not loaded", "repeat the rollback"));
        }
        Edit::PutCustomer(customer) => next.edit_shard(shard_of(&customer.name), |s| {
            s.customer.retain(|c| c.name != customer.name);
            s.customer.push((**customer).clone());
        }),
        Edit::RemoveCustomer(name) => {
            if !config.customers().any(|c| c.name == *name) {
                let field = format!("customer[{name}]");
                let remedy = "see `pomeloctl customers`";
                return Err(ConfError::new("customers", field, "no such customer", remedy));
            }
            let removed: Vec<_> = config.keys().filter(|k| k.customer == *name).cloned().collect();
            next.edit_shard(shard_of(name), |s| s.customer.retain(|c| c.name != *name));
            for key in removed {
                withdraw_key(&mut next, &key.hash, wall_ms, wall_ms);
            }
        }
        Edit::AddKey(key) => {
            if config.keys().any(|k| k.name == key.name) {
                let field = format!("key[{}].name", key.name);
                return Err(ConfError::new("keys", field, "name used twice", "choose another name"));
            }
            next.edit_shard(shard_of(&key.customer), |s| s.key.push(key.clone()));
        }
        Edit::WithdrawKeys(list) => {
            for w in list {
                withdraw_key(&mut next, &conf::tree::digest_to_hex(&w.key), w.at_ms, wall_ms);
            }
        }
    }
    Ok(next)
}

/// Removes the key with this hash and leaves a tombstone. Idempotent.
fn withdraw_key(config: &mut Config, hash: &str, at_ms: u64, wall_ms: u64) {
    let owner = config.keys().find(|k| *k.hash == *hash).map(|k| k.customer.clone());
    if let Some(customer) = owner {
        config.edit_shard(shard_of(&customer), |s| s.key.retain(|k| *k.hash != *hash));
    }
    let index = shard_of(hash);
    let has_tombstone = config.shards[index].value.withdrawn.iter().any(|t| *t.hash == *hash);
    if has_tombstone {
        return;
    }
    // If the clock of the daemon that took the withdrawal is behind this daemon's, the tombstone must still
    // be kept for the whole time by this daemon's clock.
    let until_ms = at_ms.max(wall_ms) + TOMBSTONE_RETENTION_MS;
    config.edit_shard(index, |s| {
        s.withdrawn.retain(|t| t.until_ms > wall_ms);
        s.withdrawn.push(Tombstone { hash: hash.into(), until_ms });
    });
}
