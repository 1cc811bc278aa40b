//! Prints results as text or, with `--json`, as JSON.

use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::Exit;

/// The tool's output.
///
/// Write errors are ignored, since a reader that closes its end early, such as `head`, is not a
/// failure of the command.
pub(crate) struct Console<'a> {
    json: bool,
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
}

impl<'a> Console<'a> {
    /// Creates a console that prints to `out` and `err`, with results as JSON if `json` is set.
    pub(crate) fn new(json: bool, out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self { json, out, err }
    }

    /// Prints a result as JSON or as formatted by `text`.
    pub(crate) fn result<T: Serialize>(&mut self, value: &T, text: impl FnOnce(&T) -> String) {
        let text = match self.json {
            true => serde_json::to_string_pretty(value).unwrap_or_else(|err| err.to_string()),
            false => text(value),
        };
        self.line(text.trim_end());
    }

    /// Prints a line to the output for results.
    pub(crate) fn line(&mut self, text: &str) {
        let _ = writeln!(self.out, "{text}");
    }

    /// Prints a line on progress or problems, which is not part of the result.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }

    /// Prints why the command failed.
    pub(crate) fn failure(&mut self, exit: Exit, message: &str) {
        self.note(&format!("sesamewind: {message}"));
        if self.json {
            self.line(&json!({"error": message, "exit": exit as u8}).to_string());
        }
    }
}

/// Formats `header` and `rows` in aligned columns.
pub(crate) fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(|cell| cell.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut text = aligned(&header.map(str::to_owned), &widths);
    for row in rows {
        text.push('\n');
        text.push_str(&aligned(row, &widths));
    }
    text
}

fn aligned<const N: usize>(row: &[String; N], widths: &[usize; N]) -> String {
    let mut line = String::new();
    for (cell, width) in row.iter().zip(widths) {
        line.push_str(&format!("{cell:width$}  "));
    }
    line.trim_end().to_owned()
}
