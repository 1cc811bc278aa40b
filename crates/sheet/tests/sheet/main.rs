//! Tests of the reader, the lookups and the differences of sheets.

mod codes;
mod fuzz;
mod lookup;
mod read;
mod support;
