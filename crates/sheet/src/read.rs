//! Parses the CSV text of a sheet into rows of named cells and checks them.

use std::collections::HashMap;

use csv::{ByteRecord, ReaderBuilder};

use crate::draft::Draft;
use crate::row::{COLUMNS, Row, excerpt};
use crate::{Fault, FaultCode, Sheet, build, check};

/// Maximum size of a sheet, in bytes. A sheet and its framing fit into one message between
/// instances.
pub const MAX_SHEET_BYTES: usize = 3 << 20;

const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Parses and checks a sheet.
///
/// # Errors
///
/// Returns all faults of the sheet, sorted by row and column.
pub fn read(bytes: &[u8]) -> Result<Sheet, Vec<Fault>> {
    if bytes.len() > MAX_SHEET_BYTES {
        let message = format!("{} bytes exceed the limit of {MAX_SHEET_BYTES}", bytes.len());
        return Err(vec![Fault::new(1, "", FaultCode::TooLarge, message)]);
    }
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let mut faults = Vec::new();
    let draft = read_rows(bytes, &mut faults);
    check::check(&draft, &mut faults);
    if faults.is_empty() {
        return Ok(build::build(draft));
    }
    faults.sort_by_key(|fault| (fault.row, column_order(&fault.column), fault.code));
    Err(faults)
}

/// Returns the position of a column, by which the faults of a row are sorted.
fn column_order(column: &str) -> usize {
    COLUMNS.iter().position(|known| *known == column).unwrap_or(COLUMNS.len())
}

fn read_rows(bytes: &[u8], faults: &mut Vec<Fault>) -> Draft {
    let mut draft = Draft::default();
    let mut reader = ReaderBuilder::new().has_headers(false).flexible(true).from_reader(bytes);
    let mut record = ByteRecord::new();
    let mut columns = None;
    let mut rows = 0usize;
    loop {
        match reader.read_byte_record(&mut record) {
            Ok(true) => {}
            Ok(false) => break,
            Err(err) => {
                let message = format!("could not be read as CSV: {err}");
                faults.push(Fault::new(1, "", FaultCode::Malformed, message));
                return draft;
            }
        }
        let number = row_number(bytes, &record);
        let Some(columns) = &columns else {
            columns = Some(read_header(number, &record, faults));
            continue;
        };
        if record.iter().all(|cell| cell.trim_ascii().is_empty()) {
            continue;
        }
        rows += 1;
        read_row(number, &record, columns, &mut draft, faults);
    }
    if rows == 0 {
        faults.push(Fault::new(1, "", FaultCode::NoRows, "the sheet has no rows".to_owned()));
    }
    draft
}

/// Returns the row number of a record.
///
/// The position of a record precedes the blank lines that the reader skips before it, so these are
/// added.
fn row_number(bytes: &[u8], record: &ByteRecord) -> u64 {
    let Some(position) = record.position() else { return 0 };
    let start = usize::try_from(position.byte()).unwrap_or(usize::MAX);
    let rest = bytes.get(start..).unwrap_or_default();
    let blank = rest.iter().take_while(|byte| matches!(byte, b'\r' | b'\n'));
    position.line() + blank.filter(|byte| **byte == b'\n').count() as u64
}

/// Returns the known columns by position, with `None` for an unknown or repeated column.
fn read_header(
    number: u64,
    record: &ByteRecord,
    faults: &mut Vec<Fault>,
) -> Vec<Option<&'static str>> {
    let mut columns: Vec<Option<&'static str>> = Vec::new();
    for cell in record {
        let name = String::from_utf8_lossy(cell.trim_ascii());
        let known = COLUMNS.iter().copied().find(|column| *column == name);
        if known.is_none() {
            let message = format!("no column is called {}", excerpt(&name));
            faults.push(Fault::new(number, &name, FaultCode::UnknownColumn, message));
        }
        if known.is_some() && columns.contains(&known) {
            let message = "the column stands twice".to_owned();
            faults.push(Fault::new(number, &name, FaultCode::DuplicateColumn, message));
            columns.push(None);
            continue;
        }
        columns.push(known);
    }
    for column in COLUMNS.iter().filter(|column| !columns.contains(&Some(**column))) {
        let message = "the header lacks this column".to_owned();
        faults.push(Fault::new(number, column, FaultCode::MissingColumn, message));
    }
    columns
}

fn read_row(
    number: u64,
    record: &ByteRecord,
    columns: &[Option<&'static str>],
    draft: &mut Draft,
    faults: &mut Vec<Fault>,
) {
    if record.len() != columns.len() {
        let message = format!("{} cells under {} columns", record.len(), columns.len());
        faults.push(Fault::new(number, "", FaultCode::CellCount, message));
    }
    let mut cells = HashMap::new();
    let absent = COLUMNS.iter().copied().filter(|column| !columns.contains(&Some(*column)));
    let mut unreadable: Vec<&'static str> = absent.collect();
    for (cell, column) in record.iter().zip(columns) {
        let Some(column) = *column else { continue };
        let Ok(text) = std::str::from_utf8(cell) else {
            let message = "the cell is not UTF-8 text".to_owned();
            faults.push(Fault::new(number, column, FaultCode::NotText, message));
            unreadable.push(column);
            continue;
        };
        let text = text.trim();
        if text.chars().any(|c| c == '"' || c.is_control()) {
            let message = "the cell holds a quote, a line break or another control character; \
                           a quote may not be closed"
                .to_owned();
            faults.push(Fault::new(number, column, FaultCode::Malformed, message));
            unreadable.push(column);
            continue;
        }
        if !text.is_empty() {
            cells.insert(column, text);
        }
    }
    draft.read_row(Row::new(number, cells, unreadable, faults));
}
