//! Text in aligned columns.

/// A table whose first row is its heading.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the names of its columns.
    pub(crate) fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row; control characters are replaced by spaces, so that no cell breaks the layout.
    pub(crate) fn push(&mut self, mut row: Vec<String>) {
        for cell in &mut row {
            *cell = cell.replace(char::is_control, " ");
        }
        self.rows.push(row);
    }

    /// Returns the number of rows below the heading.
    pub(crate) const fn len(&self) -> usize {
        self.rows.len() - 1
    }

    /// Formats the table with columns as wide as their widest cell.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
