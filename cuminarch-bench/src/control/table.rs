//! Printing of tables.

/// Prints one line of a table: a label and a figure for each size.
pub fn row(label: &str, figures: impl IntoIterator<Item = f64>, decimals: usize) {
    let cells: String =
        figures.into_iter().map(|figure| format!("{figure:>12.decimals$}")).collect();
    println!("{label:<44}{cells}");
}

/// Prints the head of a table.
pub fn head(title: &str, sizes: impl IntoIterator<Item = usize>) {
    let cells: String = sizes.into_iter().map(|size| format!("{size:>12}")).collect();
    println!("\n{title:<44}{cells}");
}
