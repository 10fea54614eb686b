//! The configuration cut into shards, so that a small change touches few bytes.

use std::sync::{Arc, LazyLock};

use base::rendezvous::stable_hash;
use serde::{Deserialize, Serialize};

use crate::error::ConfError;
use crate::snapshot::Fleet;
use crate::source::{CustomerSource, KeySource, RouteSource, ServiceSource, Source, Template};

/// Number of shards. Part of the stored format.
pub const SHARD_COUNT: usize = 1_024;

/// BLAKE3 digest of a chunk's bytes.
pub type Digest = [u8; 32];

/// The part that every shard depends on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Global {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Templates, in the operator's order.
    pub template: Vec<Template>,
}

/// A withdrawn key that must not come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Hexadecimal keyed hash of the key.
    pub hash: Box<str>,
    /// Time until which the tombstone is kept, milliseconds since the epoch.
    pub until_ms: u64,
}

/// Everything whose name hashes to one shard. Invariant: each list is sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Shard {
    /// Services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<ServiceSource>,
    /// Customers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customer: Vec<CustomerSource>,
    /// Routes that belong to no template.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub route: Vec<RouteSource>,
    /// Keys, in the shard of their customer.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub key: Vec<KeySource>,
    /// Withdrawn keys, in the shard of their hash.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<Tombstone>,
}

impl Shard {
    /// Sorts every list, so that equal content has equal bytes.
    fn sort(&mut self) {
        self.service.sort_by(|a, b| a.name.cmp(&b.name));
        self.customer.sort_by(|a, b| a.name.cmp(&b.name));
        self.route.sort_by(|a, b| a.name.cmp(&b.name));
        self.key.sort_by(|a, b| a.name.cmp(&b.name));
        self.withdrawn.sort_by(|a, b| a.hash.cmp(&b.hash));
    }
}

/// Shard of a name.
pub fn shard_of(name: &str) -> usize {
    stable_hash(name.as_bytes()) as usize % SHARD_COUNT
}

/// A value with its encoded bytes and their digest.
#[derive(Clone, Debug)]
pub struct Leaf<T> {
    /// The value.
    pub value: T,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
    /// Digest of the bytes.
    pub digest: Digest,
}

impl<T: Serialize + for<'a> Deserialize<'a>> Leaf<T> {
    /// Encodes a value.
    pub fn new(value: T) -> Arc<Self> {
        let bytes: Arc<[u8]> = serde_json::to_vec(&value).unwrap_or_default().into();
        let digest = *blake3::hash(&bytes).as_bytes();
        Arc::new(Self { value, bytes, digest })
    }

    /// Decodes a value.
    ///
    /// # Errors
    /// Fails when the bytes hold no such value.
    pub fn decode(bytes: &Arc<[u8]>, digest: Digest) -> Result<Arc<Self>, ConfError> {
        let value = serde_json::from_slice(bytes).map_err(|e| {
            let remedy = "run daemons of one release or apply the configuration again";
            ConfError::new("chunk", "content", e.to_string(), remedy)
        })?;
        Ok(Arc::new(Self { value, bytes: Arc::clone(bytes), digest }))
    }
}

/// A whole configuration in shards. Clones share all leaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Fleet settings and templates.
    pub global: Arc<Leaf<Global>>,
    /// Shards by number. Invariant: [`SHARD_COUNT`] of them.
    pub shards: Vec<Arc<Leaf<Shard>>>,
}

static EMPTY: LazyLock<Arc<Leaf<Shard>>> = LazyLock::new(|| Leaf::new(Shard::default()));

impl Default for Config {
    fn default() -> Self {
        Self { global: Leaf::new(Global::default()), shards: vec![Arc::clone(&EMPTY); SHARD_COUNT] }
    }
}

impl Config {
    /// Cuts a source into shards.
    pub fn from_source(source: &Source) -> Self {
        let mut shards = vec![Shard::default(); SHARD_COUNT];
        for s in &source.service {
            shards[shard_of(&s.name)].service.push(s.clone());
        }
        for c in &source.customer {
            shards[shard_of(&c.name)].customer.push(c.clone());
        }
        for r in &source.route {
            shards[shard_of(&r.name)].route.push(r.clone());
        }
        for k in &source.key {
            shards[shard_of(&k.customer)].key.push(k.clone());
        }
        let global = Global { fleet: source.fleet.clone(), template: source.template.clone() };
        Self { global: Leaf::new(global), shards: shards.into_iter().map(seal).collect() }
    }

    /// The operator's view of the whole, keys included, sorted by shard and name.
    pub fn to_source(&self) -> Source {
        let global = &self.global.value;
        let mut source =
            Source { fleet: global.fleet.clone(), template: global.template.clone(), ..Source::default() };
        for shard in self.shard_values() {
            source.service.extend_from_slice(&shard.service);
            source.customer.extend_from_slice(&shard.customer);
            source.route.extend_from_slice(&shard.route);
            source.key.extend_from_slice(&shard.key);
        }
        source
    }

    /// Replaces everything by `new` but the keys and withdrawals of `self`. Keys that `new` names as well
    /// are taken from `new`.
    #[must_use]
    pub fn replaced_by(&self, new: &Config) -> Self {
        let named: std::collections::HashSet<_> = new.keys().map(|k| k.name.clone()).collect();
        let merge = |(own, new): (&Arc<Leaf<Shard>>, &Arc<Leaf<Shard>>)| {
            let (own, mut shard) = (&own.value, new.value.clone());
            shard.key.extend(own.key.iter().filter(|k| !named.contains(&k.name)).cloned());
            shard.withdrawn.clone_from(&own.withdrawn);
            seal(shard)
        };
        let shards = self.shards.iter().zip(&new.shards).map(merge).collect();
        Self { global: Arc::clone(&new.global), shards }
    }

    /// A copy without keys and withdrawals.
    #[must_use]
    pub fn without_keys(&self) -> Self {
        let strip = |leaf: &Arc<Leaf<Shard>>| {
            seal(Shard { key: Vec::new(), withdrawn: Vec::new(), ..leaf.value.clone() })
        };
        Self { global: Arc::clone(&self.global), shards: self.shards.iter().map(strip).collect() }
    }

    /// Changes one shard.
    pub fn edit_shard(&mut self, index: usize, change: impl FnOnce(&mut Shard)) {
        let mut shard = self.shards[index].value.clone();
        change(&mut shard);
        self.shards[index] = seal(shard);
    }

    /// All shards' values.
    pub fn shard_values(&self) -> impl Iterator<Item = &Shard> {
        self.shards.iter().map(|leaf| &leaf.value)
    }

    /// All keys.
    pub fn keys(&self) -> impl Iterator<Item = &KeySource> {
        self.shard_values().flat_map(|s| &s.key)
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerSource> {
        self.shard_values().flat_map(|s| &s.customer)
    }
}

fn seal(mut shard: Shard) -> Arc<Leaf<Shard>> {
    if shard == Shard::default() {
        return Arc::clone(&EMPTY);
    }
    shard.sort();
    Leaf::new(shard)
}
