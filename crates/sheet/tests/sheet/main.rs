//! Tests of the sheet's reader, lookups and differences.

mod codes;
mod fuzz;
mod lookup;
mod read;
mod support;
