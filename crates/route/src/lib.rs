//! Choice of a server for a request. Sans-I/O; randomness comes from the caller.
//!
//! ```
//! use rand::SeedableRng;
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! assert!(route::choose(&[], &base::Place::new("meseta", "barva"), &[], &mut rng).is_none());
//! ```

pub mod pick;

pub use pick::choose;
