//! Tests of the settings' reader.

mod fuzz;
mod parse;
