//! The configuration cut into shards, so that a small change rewrites and transfers few bytes.

use std::sync::{Arc, LazyLock};

use base::rendezvous::stable_hash;
use serde::{Deserialize, Serialize};

use crate::error::ConfError;
use crate::snapshot::Fleet;
use crate::source::{CustomerSource, KeySource, RouteSource, ServiceSource, Source, Template};

/// Number of shards. Part of the stored format: changing it makes stored configurations unreadable.
pub const SHARD_COUNT: usize = 1_024;

/// BLAKE3 digest of a chunk's bytes.
pub type Digest = [u8; 32];

/// The part of a configuration on which the compilation of every shard depends.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Global {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Templates, in the operator's order.
    pub template: Vec<Template>,
}

/// Record of a withdrawn key, so that no later change adds the key again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Hexadecimal keyed hash of the key.
    pub hash: Box<str>,
    /// Time until which the tombstone is kept, in milliseconds since the epoch.
    pub until_ms: u64,
}

/// The entries whose names hash to one shard. Invariant: each list is sorted by name or hash.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Shard {
    /// Services, in the shard of their name.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<ServiceSource>,
    /// Customers, in the shard of their name.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customer: Vec<CustomerSource>,
    /// Routes that no template renders, in the shard of their name.
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
    /// Sorts every list, so that shards with equal entries have equal bytes and digests.
    fn sort(&mut self) {
        self.service.sort_by(|a, b| a.name.cmp(&b.name));
        self.customer.sort_by(|a, b| a.name.cmp(&b.name));
        self.route.sort_by(|a, b| a.name.cmp(&b.name));
        self.key.sort_by(|a, b| a.name.cmp(&b.name));
        self.withdrawn.sort_by(|a, b| a.hash.cmp(&b.hash));
    }
}

/// Number of the shard to which a name hashes.
pub fn shard_of(name: &str) -> usize {
    stable_hash(name.as_bytes()) as usize % SHARD_COUNT
}

/// A value with its encoded bytes and their digest.
#[derive(Clone, Debug)]
pub struct Leaf<T> {
    /// Decoded value.
    pub value: T,
    /// JSON encoding of the value.
    pub bytes: Arc<[u8]>,
    /// Digest of the bytes.
    pub digest: Digest,
}

impl<T: Serialize + for<'a> Deserialize<'a>> Leaf<T> {
    /// Encodes a value and hashes its bytes.
    pub fn new(value: T) -> Arc<Self> {
        let bytes: Arc<[u8]> = serde_json::to_vec(&value).unwrap_or_default().into();
        let digest = *blake3::hash(&bytes).as_bytes();
        Arc::new(Self { value, bytes, digest })
    }

    /// Decodes a value. `digest` must be the digest of `bytes`; it is not checked here.
    ///
    /// # Errors
    /// Fails when the bytes are not the JSON encoding of a `T`.
    pub fn decode(bytes: &Arc<[u8]>, digest: Digest) -> Result<Arc<Self>, ConfError> {
        let value = serde_json::from_slice(bytes).map_err(|e| {
            let remedy = "run daemons of one release or apply the configuration again";
            ConfError::new("chunk", "content", e.to_string(), remedy)
        })?;
        Ok(Arc::new(Self { value, bytes: Arc::clone(bytes), digest }))
    }
}

/// A whole configuration in shards. Clones share all leaves, so that cloning is cheap.
#[derive(Clone, Debug)]
pub struct Config {
    /// Fleet settings and templates.
    pub global: Arc<Leaf<Global>>,
    /// Shards by number. Invariant: there are [`SHARD_COUNT`].
    pub shards: Vec<Arc<Leaf<Shard>>>,
}

/// Leaf that all empty shards share.
static EMPTY_SHARD: LazyLock<Arc<Leaf<Shard>>> = LazyLock::new(|| Leaf::new(Shard::default()));

impl Default for Config {
    fn default() -> Self {
        Self { global: Leaf::new(Global::default()), shards: vec![Arc::clone(&EMPTY_SHARD); SHARD_COUNT] }
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
        Self { global: Leaf::new(global), shards: shards.into_iter().map(encode_shard).collect() }
    }

    /// Converts the shards back to the operators' format, keys included but without tombstones. Entries are
    /// sorted by shard and name.
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

    /// Returns `new` with the keys and tombstones of `self` added. Keys that both name are taken from `new`;
    /// tombstones of `new` are dropped.
    #[must_use]
    pub fn replaced_by(&self, new: &Config) -> Self {
        let named: std::collections::HashSet<_> = new.keys().map(|k| k.name.clone()).collect();
        let merge = |(own, new): (&Arc<Leaf<Shard>>, &Arc<Leaf<Shard>>)| {
            let (own, mut shard) = (&own.value, new.value.clone());
            shard.key.extend(own.key.iter().filter(|k| !named.contains(&k.name)).cloned());
            shard.withdrawn.clone_from(&own.withdrawn);
            encode_shard(shard)
        };
        let shards = self.shards.iter().zip(&new.shards).map(merge).collect();
        Self { global: Arc::clone(&new.global), shards }
    }

    /// Returns a copy without keys and tombstones.
    #[must_use]
    pub fn without_keys(&self) -> Self {
        let strip = |leaf: &Arc<Leaf<Shard>>| {
            encode_shard(Shard { key: Vec::new(), withdrawn: Vec::new(), ..leaf.value.clone() })
        };
        Self { global: Arc::clone(&self.global), shards: self.shards.iter().map(strip).collect() }
    }

    /// Changes the shard with number `index` and encodes it again.
    pub fn edit_shard(&mut self, index: usize, change: impl FnOnce(&mut Shard)) {
        let mut shard = self.shards[index].value.clone();
        change(&mut shard);
        self.shards[index] = encode_shard(shard);
    }

    /// Values of all shards, in the order of their numbers.
    pub fn shard_values(&self) -> impl Iterator<Item = &Shard> {
        self.shards.iter().map(|leaf| &leaf.value)
    }

    /// Keys of all shards.
    pub fn keys(&self) -> impl Iterator<Item = &KeySource> {
        self.shard_values().flat_map(|s| &s.key)
    }

    /// Customers of all shards.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerSource> {
        self.shard_values().flat_map(|s| &s.customer)
    }
}

/// Sorts and encodes a shard.
fn encode_shard(mut shard: Shard) -> Arc<Leaf<Shard>> {
    if shard == Shard::default() {
        return Arc::clone(&EMPTY_SHARD);
    }
    shard.sort();
    Leaf::new(shard)
}
