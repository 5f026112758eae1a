//! Tables for a person: columns as wide as their widest cell.

/// Blanks between columns.
const GAP: &str = "  ";
/// What stands for a value that is not there.
pub(crate) const NONE: &str = "-";

/// A table with a head.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(head: &[&str]) -> Table {
        Table {
            rows: vec![head.iter().map(|&cell| cell.to_owned()).collect()],
        }
    }

    /// Adds a row with a cell for each column of the head.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        debug_assert_eq!(row.len(), self.rows[0].len());
        self.rows.push(row);
    }

    /// Returns whether there is only a head.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the lines, the head first.
    pub(crate) fn lines(&self) -> Vec<String> {
        let widths = self.widths();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        (0..columns)
            .map(|column| {
                let cells = self.rows.iter().map(|row| row[column].chars().count());
                cells.max().unwrap_or(0)
            })
            .collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, &width)| format!("{cell:width$}"))
        .collect();
    cells.join(GAP).trim_end().to_owned()
}

/// Returns the cell of a value that may not be there.
pub(crate) fn cell<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}

/// Returns the cell of a truth.
pub(crate) fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Returns the cell of a time.
pub(crate) fn time(milliseconds: u64) -> String {
    match milliseconds {
        0..1_000 => format!("{milliseconds}ms"),
        1_000..120_000 => format!("{}.{}s", milliseconds / 1_000, milliseconds % 1_000 / 100),
        _ => format!("{}m", milliseconds / 60_000),
    }
}
