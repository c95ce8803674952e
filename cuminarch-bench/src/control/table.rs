//! Prints tables.

/// Prints one row: a label and a figure for each fleet size.
pub fn row(label: &str, figures: impl IntoIterator<Item = f64>, decimals: usize) {
    let cells: String =
        figures.into_iter().map(|figure| format!("{figure:>12.decimals$}")).collect();
    println!("{label:<44}{cells}");
}

/// Prints the heading row: a title and the fleet sizes.
pub fn head(title: &str, sizes: impl IntoIterator<Item = usize>) {
    let cells: String = sizes.into_iter().map(|size| format!("{size:>12}")).collect();
    println!("\n{title:<44}{cells}");
}
