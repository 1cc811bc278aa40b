//! Lookups in a checked sheet, hashes and differences between sheets.

use std::time::Duration;

use crate::support::{VALID_ROWS, sheet};
use sesamewind_protocol::{ServiceId, WallTime};
use sesamewind_sheet::{ServiceClass, Sheet, diff, hash, key_hash, read};

fn valid_sheet() -> Sheet {
    read(sheet(&VALID_ROWS).as_bytes()).expect("valid sheet")
}

fn parse(rows: &[&str]) -> Sheet {
    read(sheet(rows).as_bytes()).expect("valid sheet")
}

#[test]
fn values_are_typed() {
    let sheet = valid_sheet();
    let [urgent, night] = sheet.tiers.as_slice() else { panic!("{:?}", sheet.tiers) };
    assert_eq!((urgent.rank, urgent.name.as_str()), (0, "urgent"));
    assert_eq!(night.first_token, Duration::from_secs(30));
    assert_eq!(sheet.tier(2), Some(night));
    assert_eq!(sheet.tier_by_name("urgent"), Some(urgent));
    assert_eq!(sheet.accounts[0].tokens_per_s, Some(4000.5));
    assert_eq!(sheet.accounts[1].requests_per_s, None);
    assert_eq!(sheet.services[1].class, ServiceClass::Plain);
    assert_eq!(sheet.rollouts[0].deadline, WallTime(1_796_364_000_000));
    assert_eq!(sheet.targets_of(&ServiceId::new("assistant")).count(), 2);
    assert!(sheet.rollout_of(&ServiceId::new("booking")).is_none());
}

#[test]
fn accounts_are_found_by_key_hash() {
    let sheet = valid_sheet();
    let mut key = [0; 32];
    key[31] = 0xab;
    let account = sheet.account_by_key_hash(&key).expect("known");
    assert_eq!(account.name.as_str(), "west");
    assert_eq!(account.tier, 2);
    assert!(sheet.account_by_key_hash(&[7; 32]).is_none());
}

#[test]
fn routes_match_by_name_or_by_longest_prefix() {
    struct Case {
        service: &'static str,
        route: &'static str,
        want: Option<&'static str>,
    }
    let cases = [
        Case { service: "assistant", route: "chat", want: Some("chat") },
        Case { service: "assistant", route: "chat/1", want: None },
        Case { service: "booking", route: "POST /charges", want: Some("POST /charges") },
        Case { service: "booking", route: "POST /charges/7", want: Some("POST /charges") },
        Case { service: "booking", route: "POST /charges?x=/a", want: Some("POST /charges") },
        Case { service: "booking", route: "POST /chargesback", want: None },
        Case { service: "booking", route: "POST /", want: None },
        Case { service: "booking", route: "GET /charges/open/1", want: Some("GET /charges/open") },
        Case { service: "booking", route: "GET /charges/opened", want: Some("GET /") },
        Case { service: "booking", route: "GET /charges", want: Some("GET /") },
        Case { service: "booking", route: "get /charges", want: None },
        Case { service: "absent", route: "GET /", want: None },
        Case { service: "booking", route: "GET /", want: Some("GET /") },
        Case { service: "booking", route: "GET /a/", want: Some("GET /") },
        Case { service: "booking", route: "GET /a%20b/%C3%A9", want: Some("GET /") },
        Case { service: "booking", route: "GET /x/../charges/open", want: None },
        Case { service: "booking", route: "GET //charges/open", want: None },
        Case { service: "booking", route: "GET /./charges/open", want: None },
        Case { service: "booking", route: "GET /charges%2fopen", want: None },
        Case { service: "booking", route: "GET /%63harges/open", want: None },
        Case { service: "booking", route: "GET /charges\\open", want: None },
        Case { service: "booking", route: "GET /%", want: None },
    ];
    let sheet = valid_sheet();
    for case in cases {
        let route = sheet.route(&ServiceId::new(case.service), case.route);
        assert_eq!(route.map(|r| r.name.as_str()), case.want, "{} {}", case.service, case.route);
    }
}

#[test]
fn hashes_are_sha256() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(hash(b""), empty);
    assert_eq!(key_hash("")[..4], [0xe3, 0xb0, 0xc4, 0x42]);
    assert_ne!(hash(b"a"), hash(b"b"));
}

#[test]
fn differences_are_listed_by_entry() {
    struct Case {
        name: &'static str,
        row: usize,
        text: Option<&'static str>,
        want: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "tier",
            row: 0,
            text: Some("tier name=night rank=3 first_token_ms=30000 total_ms=500000"),
            want: &[
                "changed tier night: rank 2 -> 3, total_ms 600000 -> 500000",
                "changed account west: tier rank 2 -> 3",
                "changed service assistant: route tag (tier rank 2, idempotent) -> \
                 (tier rank 3, idempotent)",
                "changed service booking: route GET /charges/open (tier rank 2, idempotent) -> \
                 (tier rank 3, idempotent)",
            ],
        },
        Case { name: "account", row: 3, text: None, want: &["removed account west"] },
        Case {
            name: "key",
            row: 3,
            text: Some(
                "account name=west key_sha256=ff000000000000000000000000000000000000000000000000000000000000ab tier=night tokens_per_s=5",
            ),
            want: &["changed account west: key_sha256 \
                 00000000000000000000000000000000000000000000000000000000000000ab -> \
                 ff000000000000000000000000000000000000000000000000000000000000ab, \
                 tokens_per_s none -> 5"],
        },
        Case {
            name: "route",
            row: 5,
            text: Some("service name=assistant route=sort tier=night idempotent=yes"),
            want: &["changed service assistant: route tag removed, route sort added"],
        },
        Case {
            name: "target",
            row: 9,
            text: Some(
                "target name=engine-9 service=assistant version=v1 zone=a address=127.0.0.1:9001",
            ),
            want: &["removed target engine-1", "added target engine-9"],
        },
        Case {
            name: "rollout",
            row: 12,
            text: Some(
                "rollout name=r1 service=assistant from=v1 to=v2 deadline=2026-12-04T07:00:00Z share=0.1",
            ),
            want: &[
                "changed rollout r1: deadline 1796364000000 -> 1796367600000, share 0.05 -> 0.1",
            ],
        },
    ];
    let old = valid_sheet();
    assert!(diff(&old, &old).is_empty());
    for case in cases {
        let mut rows = VALID_ROWS.to_vec();
        match case.text {
            Some(text) => rows[case.row] = text,
            None => drop(rows.remove(case.row)),
        }
        let changes: Vec<String> =
            diff(&old, &parse(&rows)).iter().map(ToString::to_string).collect();
        assert_eq!(changes, case.want, "{}", case.name);
    }
}
