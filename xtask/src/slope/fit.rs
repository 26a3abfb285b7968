//! Linear regression.

/// A straight line, fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LinearFit {
    /// Change of the value when the size grows by one.
    pub(crate) slope: f64,
    /// The value at size zero.
    pub(crate) intercept: f64,
}

impl LinearFit {
    /// Fits a line through points of size and value; the slope is zero if all sizes are equal.
    pub(crate) fn least_squares(points: impl Iterator<Item = (f64, f64)>) -> Self {
        let points: Vec<(f64, f64)> = points.collect();
        let count = points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let deviation_squares: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        let deviation_products: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope =
            if deviation_squares > 0.0 { deviation_products / deviation_squares } else { 0.0 };
        Self { slope, intercept: mean_value - slope * mean_size }
    }
}
