//! Tests of the settings parser.

mod fuzz;
mod parse;
mod relay;
