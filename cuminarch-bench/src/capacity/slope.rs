/// Memory measured at one size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Number of objects.
    pub count: usize,
    /// Memory of the objects in bytes.
    pub bytes: u64,
}

/// Returns the least-squares slope of the points, in bytes per object.
#[must_use]
pub fn slope_bytes(points: &[Point]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.count as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.bytes as f64).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.count as f64 - mean_x) * (point.bytes as f64 - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|point| (point.count as f64 - mean_x).powi(2)).sum();
    covariance / variance
}

/// Prints the points and their slope.
pub fn print_slope(title: &str, unit: &str, points: &[Point]) {
    println!("{title}");
    for point in points {
        println!("  {:>7} {unit}s  {:>10} bytes", point.count, point.bytes);
    }
    println!("  slope {:.0} bytes for each {unit}\n", slope_bytes(points));
}
