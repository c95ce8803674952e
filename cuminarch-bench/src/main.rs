//! Benchmarks that print tables and check bounds.
fn main() {}
