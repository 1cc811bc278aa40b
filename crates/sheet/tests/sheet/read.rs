//! Accepted and rejected sheets, and every fault with its row, column and code.

use std::collections::BTreeSet;

use crate::support::{VALID_ROWS, header, sheet, with_replaced, with_row};
use sesamewind_protocol::operator::SheetFault;
use sesamewind_sheet::{Fault, FaultCode, MAX_SHEET_BYTES, read};

/// Row, column and code of a fault.
type FaultKey = (u64, String, FaultCode);

fn fault_keys(faults: &[Fault]) -> Vec<FaultKey> {
    faults.iter().map(|fault| (fault.row, fault.column.clone(), fault.code)).collect()
}

struct Case {
    name: &'static str,
    text: Vec<u8>,
    want: Vec<(u64, &'static str, FaultCode)>,
}

fn case(
    name: &'static str,
    rows: Vec<&'static str>,
    want: &[(u64, &'static str, FaultCode)],
) -> Case {
    Case { name, text: sheet(&rows).into_bytes(), want: want.to_vec() }
}

fn cells() -> Vec<Case> {
    use FaultCode::*;
    vec![
        case("unknown kind", with_row("tyre name=x"), &[(15, "kind", UnknownKind)]),
        case("no kind", with_row(" name=x"), &[(15, "kind", MissingValue)]),
        case(
            "empty cells that the kind requires",
            with_row("tier"),
            &[
                (15, "name", MissingValue),
                (15, "rank", MissingValue),
                (15, "first_token_ms", MissingValue),
                (15, "total_ms", MissingValue),
            ],
        ),
        case(
            "cell that the kind does not use",
            with_replaced(2, "tier name=night rank=2 first_token_ms=1 total_ms=2 zone=a"),
            &[(2, "zone", UnexpectedValue)],
        ),
        case(
            "name with a space",
            with_row("tier name=a_b rank=9 first_token_ms=1 total_ms=2"),
            &[(15, "name", BadName)],
        ),
        case(
            "numbers out of range",
            with_row("tier name=x rank=256 first_token_ms=0 total_ms=86400001"),
            &[
                (15, "rank", BadNumber),
                (15, "first_token_ms", BadNumber),
                (15, "total_ms", BadNumber),
            ],
        ),
        case(
            "rate limits that are not positive numbers",
            with_replaced(
                5,
                "account name=west key_sha256=00000000000000000000000000000000000000000000000000000000000000ab tier=night requests_per_s=0 tokens_per_s=nan",
            ),
            &[(5, "requests_per_s", BadNumber), (5, "tokens_per_s", BadNumber)],
        ),
        case(
            "key instead of its hash",
            with_replaced(5, "account name=west key_sha256=sk-west tier=night"),
            &[(5, "key_sha256", BadKeyHash)],
        ),
        case(
            "address with a host name",
            with_replaced(
                11,
                "target name=engine-1 service=assistant version=v1 zone=a address=engine:9001",
            ),
            &[(11, "address", BadAddress)],
        ),
        case(
            "address without a port to connect to",
            with_replaced(
                11,
                "target name=engine-1 service=assistant version=v1 zone=a address=127.0.0.1:0",
            ),
            &[(11, "address", BadAddress)],
        ),
        case(
            "flag that is neither yes nor no",
            with_replaced(7, "service name=assistant route=tag tier=night idempotent=true"),
            &[(7, "idempotent", BadFlag)],
        ),
        case(
            "unknown class",
            with_replaced(
                6,
                "service name=assistant class=engine version=v1 route=chat tier=urgent idempotent=no",
            ),
            &[(6, "class", BadClass)],
        ),
        case(
            "path as the route of a model service",
            with_replaced(7, "service name=assistant route=POST_/tag tier=night idempotent=yes"),
            &[(7, "route", BadRoute)],
        ),
        case(
            "name as the route of a plain service",
            with_replaced(10, "service name=booking route=charges tier=night idempotent=yes"),
            &[(10, "route", BadRoute)],
        ),
        case(
            "route with a path that is not normalized",
            with_replaced(
                10,
                "service name=booking route=GET_/a/../charges tier=night idempotent=yes",
            ),
            &[(10, "route", BadRoute)],
        ),
        case(
            "deadline without time zone",
            with_replaced(
                14,
                "rollout name=r1 service=assistant from=v1 to=v2 deadline=2026-12-04T06:00:00 share=0.05",
            ),
            &[(14, "deadline", BadDeadline)],
        ),
        case(
            "deadline in Unix seconds",
            with_replaced(
                14,
                "rollout name=r1 service=assistant from=v1 to=v2 deadline=1764828000 share=0.05",
            ),
            &[(14, "deadline", BadDeadline)],
        ),
        case(
            "share in percent",
            with_replaced(
                14,
                "rollout name=r1 service=assistant from=v1 to=v2 deadline=1764828000000 share=5",
            ),
            &[(14, "share", BadShare)],
        ),
        case(
            "zero share",
            with_replaced(
                14,
                "rollout name=r1 service=assistant from=v1 to=v2 deadline=1764828000000 share=0",
            ),
            &[(14, "share", BadShare)],
        ),
        case(
            "first token later than the total time",
            with_replaced(2, "tier name=night rank=2 first_token_ms=3 total_ms=2"),
            &[(2, "first_token_ms", TimeOrder)],
        ),
    ]
}

fn references() -> Vec<Case> {
    use FaultCode::*;
    vec![
        case(
            "second tier with the same name",
            with_row("tier name=night rank=7 first_token_ms=1 total_ms=2"),
            &[(15, "name", DuplicateName)],
        ),
        case(
            "second tier with the same rank",
            with_row("tier name=late rank=2 first_token_ms=1 total_ms=2"),
            &[(15, "rank", DuplicateRank)],
        ),
        case(
            "second account with the same key hash, in other case",
            with_row(
                "account name=south key_sha256=00000000000000000000000000000000000000000000000000000000000000Ab tier=night",
            ),
            &[(15, "key_sha256", DuplicateKey)],
        ),
        case(
            "second target with the same name and address",
            with_row(
                "target name=engine-1 service=assistant version=v1 zone=a address=127.0.0.1:9001",
            ),
            &[(15, "name", DuplicateName), (15, "address", DuplicateAddress)],
        ),
        case(
            "second row for a route",
            with_row("service name=assistant route=chat tier=night idempotent=yes"),
            &[(15, "route", DuplicateRoute)],
        ),
        case(
            "unknown tier",
            with_replaced(7, "service name=assistant route=tag tier=nights idempotent=yes"),
            &[(7, "tier", UnknownTier)],
        ),
        case(
            "unknown service",
            with_replaced(
                11,
                "target name=engine-1 service=assistent version=v1 zone=a address=127.0.0.1:9001",
            ),
            &[(11, "service", UnknownService)],
        ),
        case(
            "target with an unknown version",
            with_replaced(
                11,
                "target name=engine-1 service=assistant version=v3 zone=a address=127.0.0.1:9001",
            ),
            &[(11, "version", UnknownVersion)],
        ),
        case(
            "rollout from a version that is not in use",
            with_replaced(
                14,
                "rollout name=r1 service=assistant from=v0 to=v2 deadline=1764828000000 share=0.05",
            ),
            &[(14, "from", UnknownVersion)],
        ),
        case(
            "later row of a service contradicts the first",
            with_replaced(
                7,
                "service name=assistant class=plain version=v2 route=tag tier=night idempotent=yes",
            ),
            &[(7, "version", ServiceMismatch), (7, "class", ServiceMismatch)],
        ),
        case(
            "rollout to the same version",
            with_replaced(
                14,
                "rollout name=r1 service=booking from=b1 to=b1 deadline=1764828000000 share=0.05",
            ),
            &[(12, "version", UnknownVersion), (14, "to", SameVersion)],
        ),
        case(
            "second rollout of a service",
            with_row(
                "rollout name=r2 service=assistant from=v1 to=v3 deadline=1764828000000 share=0.5",
            ),
            &[(15, "service", SecondRollout)],
        ),
    ]
}

fn texts() -> Vec<Case> {
    use FaultCode::*;
    let head = header();
    let night = crate::support::line(VALID_ROWS[0]);
    let swapped = head.replace("zone", "zoned");
    let doubled = head.replace("zone", "kind");
    let mut latin1 = sheet(&VALID_ROWS).into_bytes();
    let at = sheet(&VALID_ROWS).find("engine-1").expect("there");
    latin1[at] = 0xe9;
    let text = |name, text: String, want: &[(u64, &'static str, FaultCode)]| Case {
        name,
        text: text.into_bytes(),
        want: want.to_vec(),
    };
    vec![
        text("empty", String::new(), &[(1, "", NoRows)]),
        text("header without rows", format!("{head}\n"), &[(1, "", NoRows)]),
        text("rows of empty cells", format!("{head}\n,,,,,,,,,,,,,,,,,,,\n"), &[(1, "", NoRows)]),
        text(
            "unknown column in place of a known one",
            format!("{swapped}\n{night}\n"),
            &[(1, "zone", MissingColumn), (1, "zoned", UnknownColumn)],
        ),
        text(
            "duplicate column",
            format!("{doubled}\n{night}\n"),
            &[(1, "kind", DuplicateColumn), (1, "zone", MissingColumn)],
        ),
        text(
            "short row",
            format!("{head}\n{}\n", &night[..night.len() - 1]),
            &[(2, "", CellCount)],
        ),
        text(
            "blank lines count as rows",
            format!("{head}\n\r\n\n{night},\n"),
            &[(4, "", CellCount)],
        ),
        Case { name: "byte that is not UTF-8", text: latin1, want: vec![(11, "name", NotText)] },
        text(
            "quote that is not closed",
            format!("{head}\n\"{night}\n{night}\n"),
            &[(2, "kind", Malformed), (2, "", CellCount)],
        ),
        text("too large", "x".repeat(MAX_SHEET_BYTES + 1), &[(1, "", TooLarge)]),
    ]
}

#[test]
fn each_fault_has_its_row_column_and_code() {
    let cases: Vec<Case> = [cells(), references(), texts()].into_iter().flatten().collect();
    let mut seen = BTreeSet::new();
    for case in cases {
        let faults = read(&case.text).expect_err(case.name);
        let want: Vec<FaultKey> = case
            .want
            .iter()
            .map(|(row, column, code)| (*row, (*column).to_owned(), *code))
            .collect();
        assert_eq!(fault_keys(&faults), want, "{}: {faults:#?}", case.name);
        seen.extend(faults.iter().map(|fault| fault.code));
    }
    let all: BTreeSet<FaultCode> = FaultCode::ALL.iter().copied().collect();
    assert_eq!(seen, all, "a code has no case");
}

#[test]
fn twenty_faults_are_reported_at_once() {
    use FaultCode::*;
    let text = sheet(&[
        "tier name=urgent rank=zero first_token_ms=800 total_ms=20000",
        "tier name=urgent rank=1 first_token_ms=900 total_ms=800",
        "tier name=night rank=2 first_token_ms=1.5 total_ms=600000",
        "account name=east_side key_sha256=12 tier=urgent requests_per_s=-1 tokens_per_s=many",
        "account name=west key_sha256=00000000000000000000000000000000000000000000000000000000000000ab tier=dawn",
        "service name=assistant class=modal version=v1 route=chat tier=urgent idempotent=maybe",
        "service name=booking class=plain version=b1 route=/charges tier=urgent idempotent=no share=1",
        "target name=engine-1 service=assistent version=v1 zone=a address=127.0.0.1",
        "target name=engine-2 service=booking version=b9 address=127.0.0.1:9002",
        "rollout name=r1 service=booking from=b1 to=b1 deadline=soon share=20%",
        "engine name=engine-3",
    ]);
    let want: Vec<FaultKey> = [
        (2, "rank", BadNumber),
        (3, "name", DuplicateName),
        (3, "first_token_ms", TimeOrder),
        (4, "first_token_ms", BadNumber),
        (5, "name", BadName),
        (5, "key_sha256", BadKeyHash),
        (5, "requests_per_s", BadNumber),
        (5, "tokens_per_s", BadNumber),
        (6, "tier", UnknownTier),
        (7, "idempotent", BadFlag),
        (7, "class", BadClass),
        (8, "route", BadRoute),
        (8, "share", UnexpectedValue),
        (9, "service", UnknownService),
        (9, "address", BadAddress),
        (10, "version", UnknownVersion),
        (10, "zone", MissingValue),
        (11, "to", SameVersion),
        (11, "deadline", BadDeadline),
        (11, "share", BadShare),
        (12, "kind", UnknownKind),
    ]
    .map(|(row, column, code)| (row, column.to_owned(), code))
    .to_vec();
    assert!(want.len() > 20);
    assert_eq!(fault_keys(&read(text.as_bytes()).expect_err("invalid sheet")), want);
}

#[test]
fn messages_do_not_quote_a_key() {
    let text = sheet(&with_replaced(5, "account name=west key_sha256=sk-live-west tier=night"));
    let faults = read(text.as_bytes()).expect_err("invalid sheet");
    assert!(!faults[0].to_string().contains("sk-live"), "{}", faults[0]);
}

#[test]
fn equivalent_forms_of_a_sheet_are_accepted() {
    let plain = sheet(&VALID_ROWS);
    let want = read(plain.as_bytes()).expect("valid sheet");
    let reversed = |line: &str| {
        let mut cells: Vec<&str> = line.split(',').collect();
        cells.reverse();
        cells.join(",") + "\n"
    };
    struct Form {
        name: &'static str,
        text: String,
    }
    let forms = [
        Form { name: "Windows line endings", text: plain.replace('\n', "\r\n") },
        Form { name: "byte order mark", text: format!("\u{feff}{plain}") },
        Form { name: "spaces around cells", text: plain.replace(',', " , ") },
        Form { name: "quoted cells", text: plain.replace("engine-1", "\"engine-1\"") },
        Form { name: "no final line ending", text: plain.trim_end().to_owned() },
        Form { name: "empty rows", text: plain.replace('\n', "\n,,,,,,,,,,,,,,,,,,,\n\n") },
        Form { name: "columns in another order", text: plain.lines().map(reversed).collect() },
    ];
    for form in forms {
        assert_eq!(read(form.text.as_bytes()), Ok(want.clone()), "{}", form.name);
    }
}

#[test]
fn a_completed_rollout_may_remain() {
    let mut rows = VALID_ROWS.to_vec();
    rows[4] = "service name=assistant class=model version=v2 route=chat tier=urgent idempotent=no";
    let sheet = read(sheet(&rows).as_bytes()).expect("valid sheet");
    assert_eq!(sheet.rollouts.len(), 1);
}

#[test]
fn faults_convert_to_the_operator_protocol() {
    let text = sheet(&with_row("tyre name=x"));
    let faults = read(text.as_bytes()).expect_err("invalid sheet");
    let fault = SheetFault::from(&faults[0]);
    let message = "expected tier, account, service, target or rollout, got \"tyre\"".to_owned();
    assert_eq!(fault, SheetFault { row: 15, column: "kind".to_owned(), code: 2109, message });
}

#[test]
fn the_example_is_valid_and_has_every_kind() {
    let bytes = include_bytes!("../../../../docs/sheet.example.csv");
    let sheet = read(bytes).expect("valid sheet");
    let counts =
        [sheet.tiers.len(), sheet.accounts.len(), sheet.services.len(), sheet.targets.len()];
    assert_eq!(counts, [3, 2, 2, 3]);
    assert_eq!(sheet.rollouts.len(), 1);
    let key = sesamewind_sheet::key_hash("example-key-east");
    assert!(sheet.account_by_key_hash(&key).is_some());
}
