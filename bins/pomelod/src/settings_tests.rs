use pico_args::Arguments;
use rstest::rstest;

use super::advertised_addr;

fn args(value: &str) -> Arguments {
    Arguments::from_vec(vec!["--test-listen".into(), value.into()])
}

#[rstest]
fn address_of_the_instance_is_accepted() {
    let addr = advertised_addr(&mut args("127.0.0.7:7000"), "--test-listen", "127.0.0.1:0").unwrap();
    assert_eq!(addr.to_string(), "127.0.0.7:7000");
}

#[rstest]
#[case::any_v4("0.0.0.0:7000")]
#[case::any_v6("[::]:7000")]
#[case::no_address("localhost")]
fn address_that_other_daemons_cannot_reach_is_refused(#[case] value: &str) {
    let e = advertised_addr(&mut args(value), "--test-listen", "127.0.0.1:0").unwrap_err();
    assert!(e.to_string().starts_with("--test-listen: "), "{e}");
}
