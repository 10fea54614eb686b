//! Guards against hash trees that load as another configuration than they were built from, and against small
//! changes that transfer many chunks.

use std::sync::Arc;

use conf::source::{CustomerSource, Source};
use conf::tree::{Chunks, LoadProgress, build_tree, load_tree};
use conf::{Compiler, Config};
use proptest::prelude::*;
use rstest::rstest;

fn source(customers: usize) -> Source {
    let customer = |n: usize| CustomerSource {
        name: format!("customer-{n}").into(),
        rate: 10.0,
        burst: 10.0,
        template: None,
        params: [].into(),
    };
    Source { customer: (0..customers).map(customer).collect(), ..Source::default() }
}

/// Loads a tree by fetching missing chunks, as a daemon does; returns the number of fetched chunks, too.
fn fetch(root: &conf::Digest, all: &Chunks, known: &Chunks, base: &Config) -> (Config, usize) {
    let mut chunks = known.clone();
    let mut fetched = 0;
    loop {
        match load_tree(root, &chunks, base).expect("a sound tree") {
            LoadProgress::Complete(config) => return (*config, fetched),
            LoadProgress::Missing(missing) => {
                fetched += missing.len();
                chunks.extend(missing.iter().map(|d| (*d, Arc::clone(&all[d]))));
            }
        }
    }
}

#[rstest]
fn one_changed_customer_needs_three_chunks() {
    let old = Config::from_source(&source(3_000));
    let mut wanted = source(3_000);
    wanted.customer[7].rate = 99.0;
    let (old_tree, tree) = (build_tree(&old), build_tree(&Config::from_source(&wanted)));
    let (_, fetched) = fetch(&tree.root, &tree.chunks, &old_tree.chunks, &old);
    assert_eq!(fetched, 3);
}

#[rstest]
fn leaf_in_the_place_of_the_root_is_refused() {
    let tree = build_tree(&Config::from_source(&source(10)));
    let mut chunks = tree.chunks.clone();
    let leaf = Arc::clone(&Config::from_source(&source(10)).global.bytes);
    chunks.insert(tree.root, leaf);
    let e = load_tree(&tree.root, &chunks, &Config::default()).expect_err("a fault");
    assert_eq!(&*e.field, "tree");
}

#[rstest]
fn incremental_compile_equals_whole_compile() {
    let mut compiler = Compiler::default();
    compiler.compile(&Config::from_source(&source(200)), 1).expect("valid");
    let mut wanted = source(200);
    wanted.customer[7].rate = 99.0;
    let next = compiler.compile(&Config::from_source(&wanted), 2).expect("valid");
    assert_eq!(next.customers, conf::compile(&wanted, 2).expect("valid").customers);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_change_loads_as_the_configuration_that_was_built(
        old in proptest::collection::btree_map(0..400_u32, 1..9_u32, 0..60),
        new in proptest::collection::btree_map(0..400_u32, 1..9_u32, 0..60),
    ) {
        let make = |map: &std::collections::BTreeMap<u32, u32>| {
            let mut source = source(0);
            source.customer = map.iter().map(|(n, rate)| CustomerSource {
                name: format!("customer-{n}").into(),
                rate: f64::from(*rate),
                burst: 10.0,
                template: None,
                params: [].into(),
            }).collect();
            Config::from_source(&source)
        };
        let (old, new) = (make(&old), make(&new));
        let (known, tree) = (build_tree(&old).chunks, build_tree(&new));
        let (loaded, _) = fetch(&tree.root, &tree.chunks, &known, &old);
        prop_assert_eq!(loaded.to_source(), new.to_source());
        prop_assert_eq!(build_tree(&loaded).root, tree.root);
    }
}
