/// Least-squares regression with exponential forgetting and non-negative coefficients.
///
/// Coefficients that are not clearly above their standard error are set to zero, so that sparse
/// data on a rare input does not attribute calls to it.
#[derive(Clone, Debug, Default)]
pub struct LeastSquares {
    /// Decayed sums of products of the inputs.
    products: Vec<Vec<f64>>,
    /// Decayed sums of products of inputs and output.
    moments: Vec<f64>,
    /// Decayed sum of squares of the output.
    output_square_sum: f64,
    /// Decayed number of observations.
    count: f64,
}

impl LeastSquares {
    /// A coefficient is kept if it is at least this many standard errors above zero.
    const MIN_STANDARD_ERRORS: f64 = 2.0;
    /// Minimum number of observations before coefficients are estimated.
    const MIN_OBSERVATIONS: f64 = 4.0;
    /// Keeps the system solvable if inputs have always been zero.
    const RIDGE: f64 = 1e-6;

    /// Adds one observation; `retained_fraction` is the weight left to earlier ones.
    pub fn observe(&mut self, inputs: &[f64], output: f64, retained_fraction: f64) {
        self.grow(inputs.len());
        for (row, input) in self.products.iter_mut().zip(inputs) {
            for (product, other) in row.iter_mut().zip(inputs) {
                *product = *product * retained_fraction + input * other;
            }
        }
        for (moment, input) in self.moments.iter_mut().zip(inputs) {
            *moment = *moment * retained_fraction + input * output;
        }
        self.output_square_sum = self.output_square_sum * retained_fraction + output * output;
        self.count = self.count * retained_fraction + 1.0;
    }

    /// Returns the coefficients; those that are not clearly positive are zero.
    pub fn solve(&self) -> Vec<f64> {
        let size = self.moments.len();
        let mut coefficients = vec![0.0; size];
        if self.count < Self::MIN_OBSERVATIONS {
            return coefficients;
        }
        let mut used: Vec<usize> =
            (0..size).filter(|&index| self.products[index][index] > Self::RIDGE).collect();
        while !used.is_empty() {
            let Some((values, errors)) = self.solve_for(&used) else { return coefficients };
            let worst = values
                .iter()
                .zip(&errors)
                .map(|(value, error)| value / error.max(f64::MIN_POSITIVE))
                .enumerate()
                .min_by(|(_, left), (_, right)| left.total_cmp(right));
            match worst {
                Some((position, ratio)) if ratio < Self::MIN_STANDARD_ERRORS && used.len() > 1 => {
                    used.remove(position);
                }
                _ => {
                    for (index, value) in used.iter().zip(values) {
                        coefficients[*index] = value.max(0.0);
                    }
                    return coefficients;
                }
            }
        }
        coefficients
    }

    fn grow(&mut self, size: usize) {
        while self.moments.len() < size {
            self.moments.push(0.0);
            self.products.push(Vec::new());
        }
        for row in &mut self.products {
            row.resize(size, 0.0);
        }
    }

    /// Returns the coefficients of the `used` inputs and their standard errors.
    fn solve_for(&self, used: &[usize]) -> Option<(Vec<f64>, Vec<f64>)> {
        let inverse = self.inverse(used)?;
        let values: Vec<f64> = inverse
            .iter()
            .map(|row| row.iter().zip(used).map(|(cell, &index)| cell * self.moments[index]).sum())
            .collect();
        let explained: f64 =
            values.iter().zip(used).map(|(value, &index)| value * self.moments[index]).sum();
        let degrees_of_freedom = (self.count - used.len() as f64).max(1.0);
        let variance =
            ((self.output_square_sum - explained) / degrees_of_freedom).max(f64::MIN_POSITIVE);
        let errors =
            (0..used.len()).map(|position| (variance * inverse[position][position]).sqrt());
        Some((values, errors.collect()))
    }

    /// Inverts the product matrix of the `used` inputs by Gauss-Jordan elimination.
    fn inverse(&self, used: &[usize]) -> Option<Vec<Vec<f64>>> {
        let size = used.len();
        let mut rows: Vec<Vec<f64>> = used
            .iter()
            .enumerate()
            .map(|(position, &index)| {
                let mut row: Vec<f64> =
                    used.iter().map(|&other| self.products[index][other]).collect();
                row[position] += Self::RIDGE;
                row.extend((0..size).map(|other| f64::from(u8::from(other == position))));
                row
            })
            .collect();
        for column in 0..size {
            let pivot = (column..size).max_by(|&left, &right| {
                rows[left][column].abs().total_cmp(&rows[right][column].abs())
            })?;
            rows.swap(column, pivot);
            let divisor = rows[column][column];
            if divisor.abs() < f64::MIN_POSITIVE {
                return None;
            }
            rows[column].iter_mut().for_each(|cell| *cell /= divisor);
            let pivot_row = rows[column].clone();
            for (_, row) in rows.iter_mut().enumerate().filter(|(position, _)| *position != column)
            {
                let factor = row[column];
                row.iter_mut().zip(&pivot_row).for_each(|(cell, other)| *cell -= factor * other);
            }
        }
        Some(rows.into_iter().map(|row| row[size..].to_vec()).collect())
    }
}
