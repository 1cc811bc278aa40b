//! Tests of the sheet's reader, lookups and differences.

mod fuzz;
mod lookup;
mod read;
mod support;
