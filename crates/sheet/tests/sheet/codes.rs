//! The tables of `docs/RESULT-CODES.md` list exactly the codes that are defined in the code.

use std::collections::BTreeSet;

use sesamewind_protocol::Code;
use sesamewind_sheet::FaultCode;

const PAGE: &str = include_str!("../../../../docs/RESULT-CODES.md");

/// Returns the first `cells` cells of each table row that starts with a code of this thousand.
fn rows(thousand: u16, cells: usize) -> Vec<Vec<&'static str>> {
    let split = |line: &'static str| -> Vec<&'static str> {
        line.trim_matches('|').split(" | ").map(str::trim).collect()
    };
    let lines = PAGE.lines().filter(|line| line.starts_with("| "));
    let numbered = lines
        .map(split)
        .filter(|row| row[0].parse().is_ok_and(|number: u16| number / 1000 == thousand));
    numbered.map(|row| row[..cells].to_vec()).collect()
}

#[test]
fn tables_match_the_code() {
    let texts = |code: &Code| {
        vec![code.number().to_string(), code.slug().to_owned(), code.status().to_string()]
    };
    let want: Vec<Vec<String>> = Code::ALL.iter().map(texts).collect();
    assert_eq!(rows(1, 3), want);

    let texts = |code: &FaultCode| vec![code.number().to_string(), code.slug().to_owned()];
    let want: Vec<Vec<String>> = FaultCode::ALL.iter().map(texts).collect();
    assert_eq!(rows(2, 2), want);
}

#[test]
fn numbers_are_unique_and_rise() {
    let codes = Code::ALL.iter().map(|code| code.number());
    let faults = FaultCode::ALL.iter().map(|code| code.number());
    let numbers: Vec<u16> = codes.chain(faults).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let slugs: BTreeSet<&str> = Code::ALL.iter().map(|code| code.slug()).collect();
    assert_eq!(slugs.len(), Code::ALL.len());
}
