//! Measures the change of one customer in a configuration of the largest intended size: bytes of new
//! chunks, and time on the control thread.
//!
//! `cargo run --release -p sync --example scale` prints key=value lines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use conf::source::{CustomerSource, KeySource, ServiceSource, Source};
use conf::tree::{Chunks, LoadProgress, build_tree, load_tree};
use conf::{Compiler, Config};
use sync::edit::{Edit, apply_edit};

const CUSTOMERS: usize = 21_000;
const ROUTES: usize = 13_000;
const SERVICES: usize = 420;
/// Number of changes measured.
const CHANGES: usize = 50;

const TEMPLATE: &str = r#"
[[template]]
name = "shop"
body = '''
[[route]]
name = "{{ customer }}-stock"
prefix = "/{{ customer }}/stock"
service = "{{ service }}"
timeout_ms = {{ timeout_ms }}
'''
[template.params.service]
type = "text"
[template.params.timeout_ms]
type = "number"
default = 2000
min = 100
max = 30000
"#;

fn source() -> Source {
    let mut source = conf::source::parse("scale", TEMPLATE).expect("a valid template");
    source.service = (0..SERVICES)
        .map(|n| ServiceSource {
            name: format!("service-{n}").into(),
            floor: 0.6,
            cross_region: true,
            queue: 1_000,
        })
        .collect();
    for n in 0..CUSTOMERS {
        let name = format!("customer-{n:05}");
        let service = toml::Value::String(format!("service-{}", n % SERVICES));
        source.key.push(KeySource {
            name: format!("{name}-1").into(),
            hash: conf::tree::digest_to_hex(digest_of(&name)),
            customer: name.as_str().into(),
            expires: None,
        });
        source.customer.push(CustomerSource {
            name: name.into(),
            rate: 10.0,
            burst: 20.0,
            template: (n < ROUTES).then(|| "shop".into()),
            params: if n < ROUTES { [("service".into(), service)].into() } else { [].into() },
        });
    }
    source
}

fn digest_of(name: &str) -> &'static conf::Digest {
    Box::leak(Box::new(conf::tree::chunk_digest(name.as_bytes())))
}

fn elapsed_ms(from: Instant) -> f64 {
    from.elapsed().as_secs_f64() * 1_000.0
}

fn main() {
    let source = source();
    let text = toml::to_string(&source).expect("TOML");
    let at = Instant::now();
    black_box(conf::source::parse("scale", &text).expect("valid"));
    println!("parse_whole_ms={:.1} toml_bytes={}", elapsed_ms(at), text.len());

    let at = Instant::now();
    let mut config = Config::from_source(&source);
    println!("shard_whole_ms={:.1}", elapsed_ms(at));
    let mut compiler = Compiler::default();
    let at = Instant::now();
    black_box(compiler.compile(&config, 1).expect("valid"));
    println!("compile_first_ms={:.1}", elapsed_ms(at));
    let mut tree = build_tree(&config);
    let total: usize = tree.chunks.values().map(|c| c.len()).sum();
    println!("chunks={} chunk_bytes={total}", tree.chunks.len());

    let (mut commit_ms, mut adopt_ms, mut moved, mut chunks_moved) = (0.0, 0.0, 0, 0);
    let mut receiver = Compiler::default();
    black_box(receiver.compile(&config, 1).expect("valid"));
    for n in 0..CHANGES {
        let customer = CustomerSource {
            rate: 11.0 + n as f64,
            ..config.customers().nth(n * 400).expect("a customer").clone()
        };
        let at = Instant::now();
        let next = apply_edit(&config, &Edit::PutCustomer(Box::new(customer)), 0).expect("valid");
        black_box(compiler.compile(&next, 2).expect("valid"));
        let next_tree = build_tree(&next);
        commit_ms += elapsed_ms(at);

        let new: Chunks = next_tree
            .chunks
            .iter()
            .filter(|(d, _)| !tree.chunks.contains_key(*d))
            .map(|(d, b)| (*d, Arc::clone(b)))
            .collect();
        moved += new.values().map(|c| c.len()).sum::<usize>();
        chunks_moved += new.len();
        let at = Instant::now();
        let mut known = tree.chunks.clone();
        known.extend(new);
        let Ok(LoadProgress::Complete(loaded)) = load_tree(&next_tree.root, &known, &config) else {
            panic!("the tree is whole");
        };
        black_box(receiver.compile(&loaded, 2).expect("valid"));
        black_box(build_tree(&loaded));
        adopt_ms += elapsed_ms(at);
        (config, tree) = (next, next_tree);
    }
    let mean = |sum: f64| sum / CHANGES as f64;
    println!("commit_ms={:.2} adopt_ms={:.2}", mean(commit_ms), mean(adopt_ms));
    println!("moved_bytes={:.0} moved_chunks={:.1}", mean(moved as f64), mean(chunks_moved as f64));
}
