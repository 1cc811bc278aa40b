//! The reader takes any bytes without failing, and what it takes is consistent.

use bolero::produce;
use sesamewind_seeded::Cases;
use sesamewind_sheet::{Sheet, diff, read};

use crate::support::{SOUND, sheet};

/// Bytes that steer the CSV reader, and some that it has no use for.
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
    let sound = sheet(&SOUND).into_bytes();
    let old = read(&sound).expect("sound");
    Cases::default().check(produce(), |seed, edits: Vec<(u16, u8)>| {
        let mut bytes = sound.clone();
        for (at, byte) in edits.iter().take(4) {
            let at = usize::from(*at) % bytes.len();
            bytes[at] = BYTES[usize::from(*byte) % BYTES.len()];
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

/// Whatever was taken, its names resolve and its lookups find each entry.
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
