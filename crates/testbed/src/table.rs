//! A table of text cells, for the terminal and for reports.

use std::fmt;

/// A header and rows of as many cells.
pub(crate) struct Table {
    /// The names of the columns.
    pub header: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// The header, then the rows.
    fn lines(&self) -> impl Iterator<Item = &Vec<String>> {
        std::iter::once(&self.header).chain(&self.rows)
    }

    /// The width of a column: that of its widest cell, in bytes.
    fn width(&self, column: usize) -> usize {
        let widths = self.lines().map(|cells| cells[column].len());
        widths.max().unwrap_or(0)
    }
}

/// Formats the table with aligned columns, one row a line, without a newline at the end.
impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.header.len())
            .map(|column| self.width(column))
            .collect();
        for (index, cells) in self.lines().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let cells = cells.iter().zip(&widths);
            let cells: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            write!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}
