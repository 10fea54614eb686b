use pico_args::Arguments;
use rstest::rstest;

use super::own_addr;

fn args(value: &str) -> Arguments {
    Arguments::from_vec(vec!["--test-listen".into(), value.into()])
}

#[rstest]
fn an_address_of_the_instance_is_taken() {
    let addr = own_addr(&mut args("127.0.0.7:7000"), "--test-listen", "127.0.0.1:0").unwrap();
    assert_eq!(addr.to_string(), "127.0.0.7:7000");
}

#[rstest]
#[case::any_v4("0.0.0.0:7000")]
#[case::any_v6("[::]:7000")]
#[case::no_address("localhost")]
fn an_address_that_others_cant_reach_is_refused(#[case] value: &str) {
    let e = own_addr(&mut args(value), "--test-listen", "127.0.0.1:0").unwrap_err();
    assert!(e.to_string().starts_with("--test-listen: "), "{e}");
}
