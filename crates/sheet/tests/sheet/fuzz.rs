//! The reader never panics, whatever the bytes, and the sheets that it accepts are consistent.

use bolero::produce;
use sesamewind_seeded::Cases;
use sesamewind_sheet::{Sheet, diff, read};

use crate::support::{VALID_ROWS, sheet};

/// Bytes with a meaning in CSV or in a cell, and one that is invalid.
const BYTES: [u8; 16] = *b",,\"\n\r 019av:/.-\xff";

#[test]
fn any_bytes_are_read_or_refused() {
    Cases::default().check(produce(), |_, bytes: Vec<u8>| {
        if let Err(faults) = read(&bytes) {
            assert!(!faults.is_empty());
        }
    });
}

#[test]
fn a_damaged_sheet_is_refused_or_consistent() {
    let valid = sheet(&VALID_ROWS).into_bytes();
    let old = read(&valid).expect("valid sheet");
    Cases::default().check(produce(), |seed, edits: Vec<(u16, u8)>| {
        let mut bytes = valid.clone();
        for (index, byte) in edits.iter().take(4) {
            let index = usize::from(*index) % bytes.len();
            bytes[index] = BYTES[usize::from(*byte) % BYTES.len()];
        }
        let lines = bytes.split(|byte| *byte == b'\n').count() as u64;
        match read(&bytes) {
            Ok(sheet) => check(seed, &old, &sheet),
            Err(faults) => {
                assert!(!faults.is_empty());
                assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.row)), "{faults:?}");
            }
        }
    });
}

/// Checks that the names of an accepted sheet resolve and that its lookups find each entry.
fn check(seed: u64, old: &Sheet, sheet: &Sheet) {
    assert_eq!(diff(old, sheet).is_empty(), old == sheet, "seed {seed}");
    assert!(sheet.tiers.is_sorted_by(|a, b| a.rank < b.rank));
    for account in &sheet.accounts {
        assert!(sheet.tier(account.tier).is_some());
        assert_eq!(sheet.account_by_key_hash(&account.key_hash), Some(account));
    }
    for service in &sheet.services {
        assert_eq!(sheet.service(&service.name), Some(service));
        for route in &service.routes {
            assert!(sheet.tier(route.tier).is_some());
            assert_eq!(service.route(route.name.as_str()), Some(route));
        }
    }
    for target in &sheet.targets {
        assert!(sheet.service(&target.service).is_some());
    }
    for rollout in &sheet.rollouts {
        assert_eq!(sheet.rollout_of(&rollout.service), Some(rollout));
        assert!(rollout.from != rollout.to && rollout.share > 0.0 && rollout.share <= 1.0);
    }
}
