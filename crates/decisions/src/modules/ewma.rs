//! An exponentially weighted moving average.

/// An exponentially weighted moving average with a constant weight of new samples.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ewma {
    value: f64,
    weight: f64,
}

impl Ewma {
    pub(crate) fn new(initial: f64, weight: f64) -> Self {
        Self {
            value: initial,
            weight,
        }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }

    pub(crate) fn set(&mut self, value: f64) {
        self.value = value;
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
