//! Tests of the settings of an instance that forwards by route.

use sesamewind_protocol::{RegionId, ZoneId};
use sesamewind_settings::{Faults, RelaySettings};

const MINIMAL: &str = r#"
[instance]
name = "i1"
zone = "z1"
first_start = "true"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
inner = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[bounds]
retry_ratio = "0.2"
retry_extra = "50"
quota_overage = "0.1"
quota_slack = "1000"
"#;

fn parse(text: &str) -> Result<RelaySettings, Faults> {
    RelaySettings::parse(text, &|_| Some("a-token-of-peers".to_owned()))
}

#[test]
fn absent_bounds_of_cold_targets_allow_what_they_state() {
    let settings = parse(MINIMAL).expect("valid settings");
    assert_eq!((settings.bounds.cold_overage, settings.bounds.cold_slack), (1.0, 0.0));
    assert!(settings.regions.is_empty());
    assert_eq!(settings.hedge_share, 0.0);
}

#[test]
fn bounds_of_cold_targets_hedging_and_regions_are_read() {
    let text = format!(
        "{MINIMAL}cold_overage = \"1.5\"\ncold_slack = \"5\"\n[hedging]\nshare = \"0.05\"\n[regions]\nz1 = \"r1\"\nz2 = \"r2\"\n"
    );
    let settings = parse(&text).expect("valid settings");
    assert_eq!((settings.bounds.cold_overage, settings.bounds.cold_slack), (1.5, 5.0));
    assert_eq!(settings.hedge_share, 0.05);
    assert_eq!(settings.regions.get(&ZoneId::new("z2")), Some(&RegionId::new("r2")));
}

#[test]
fn invalid_bounds_and_regions_are_reported() {
    struct Case {
        added: &'static str,
        want: &'static str,
    }
    let cases = [
        Case { added: "cold_overage = \"-1\"", want: "bounds.cold_overage" },
        Case { added: "cold_slack = \"many\"", want: "bounds.cold_slack" },
        Case { added: "contact = \"0s\"", want: "bounds.contact" },
        Case { added: "[hedging]\nshare = \"0.6\"", want: "hedging.share" },
        Case { added: "[hedging]\nshare = \"-0.1\"", want: "hedging.share" },
        Case { added: "[hedging]", want: "hedging.share" },
        Case { added: "[regions]\nz1 = 3", want: "regions.z1" },
        Case { added: "[regions]\nz1 = \"\"", want: "regions.z1" },
    ];
    for case in cases {
        let faults = parse(&format!("{MINIMAL}{}\n", case.added)).expect_err(case.added);
        let keys: Vec<&str> = faults.as_slice().iter().map(|fault| fault.key.as_str()).collect();
        assert_eq!(keys, [case.want]);
    }
}
