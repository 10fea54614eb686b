//! Regions in which requests may run.

use base::Region;
use conf::AllowedRegions;
use rstest::rstest;

fn listed(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::from_list(regions.iter().map(|r| Region::from(*r)))
}

// Guards against requests that run outside the regions that route and customer share.
#[rstest]
#[case::no_limits(&[], &[], &["meseta", "guanacaste"])]
#[case::of_the_route(&["meseta"], &[], &["meseta"])]
#[case::of_the_customer(&[], &["guanacaste"], &["guanacaste"])]
#[case::one_in_common(&["meseta", "guanacaste"], &["guanacaste"], &["guanacaste"])]
#[case::none_in_common(&["meseta"], &["guanacaste"], &[])]
#[case::a_region_that_does_not_exist(&["atlantis"], &[], &[])]
fn the_limits_of_route_and_customer_both_bind(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] expected: &[&str],
) {
    let both = listed(route).intersect(&listed(customer));
    let swapped = listed(customer).intersect(&listed(route));
    for region in ["meseta", "guanacaste"] {
        assert_eq!(both.allows(region), expected.contains(&region), "{region}");
        assert_eq!(swapped.allows(region), expected.contains(&region), "{region}, swapped");
    }
}

// Guards against two limits without a common region being taken for no limit at all.
#[test]
fn limits_without_a_common_region_stay_empty() {
    let none = listed(&["meseta"]).intersect(&listed(&["guanacaste"]));
    assert!(none.is_empty());
    assert!(none.intersect(&AllowedRegions::All).is_empty());
    assert!(!AllowedRegions::All.is_empty());
}
