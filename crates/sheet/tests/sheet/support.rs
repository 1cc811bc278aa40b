//! Builds sheets from rows that list only their non-empty cells.

use sesamewind_sheet::COLUMNS;

/// Returns the header line.
pub(crate) fn header() -> String {
    COLUMNS.join(",")
}

/// Returns the CSV line of a row such as `tier name=urgent rank=0`. `_` in a value means a space.
pub(crate) fn line(row: &str) -> String {
    let mut words = row.split(' ');
    let kind = words.next().unwrap_or_default();
    let pairs: Vec<(&str, &str)> =
        words.map(|word| word.split_once('=').expect("column=value")).collect();
    let cell = |column: &str| {
        if column == "kind" {
            return kind.to_owned();
        }
        let value = pairs.iter().find(|(name, _)| *name == column);
        value.map_or(String::new(), |(_, value)| value.replace('_', " "))
    };
    COLUMNS.map(cell).join(",")
}

/// Returns the CSV text of a sheet with these rows.
pub(crate) fn sheet(rows: &[&str]) -> String {
    let lines: Vec<String> = rows.iter().map(|row| line(row)).collect();
    format!("{}\n{}\n", header(), lines.join("\n"))
}

/// The rows of a valid sheet.
pub(crate) const VALID_ROWS: [&str; 13] = [
    "tier name=night rank=2 first_token_ms=30000 total_ms=600000",
    "tier name=urgent rank=0 first_token_ms=800 total_ms=20000",
    "account name=east key_sha256=0000000000000000000000000000000000000000000000000000000000000001 \
     tier=urgent requests_per_s=20 tokens_per_s=4000.5",
    "account name=west key_sha256=00000000000000000000000000000000000000000000000000000000000000aB \
     tier=night",
    "service name=assistant class=model version=v1 route=chat tier=urgent idempotent=no",
    "service name=assistant route=tag tier=night idempotent=yes",
    "service name=booking class=plain version=b1 route=GET_/ tier=urgent idempotent=yes",
    "service name=booking class=plain version=b1 route=POST_/charges tier=urgent idempotent=no",
    "service name=booking route=GET_/charges/open tier=night idempotent=yes",
    "target name=engine-1 service=assistant version=v1 zone=a address=127.0.0.1:9001",
    "target name=engine-2 service=assistant version=v2 zone=b address=127.0.0.1:9002",
    "target name=booking-1 service=booking version=b1 zone=b address=[::1]:9003",
    "rollout name=r1 service=assistant from=v1 to=v2 deadline=2026-12-04T06:00:00Z share=0.05",
];

/// Returns the valid rows with row `number` replaced. The header is row 1.
pub(crate) fn with_replaced(number: usize, row: &'static str) -> Vec<&'static str> {
    let mut rows = VALID_ROWS.to_vec();
    rows[number - 2] = row;
    rows
}

/// Returns the valid rows followed by `row`.
pub(crate) fn with_row(row: &'static str) -> Vec<&'static str> {
    let mut rows = VALID_ROWS.to_vec();
    rows.push(row);
    rows
}
