//! Measured costs by size, with a straight line fitted to each series.

pub mod daemons;
pub mod decisions;
pub mod state;

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, ToSmolStr},
    std::{collections::BTreeMap, fs, path::Path},
};

/// Failure to measure, or to read or write measured data.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step}: {detail}")]
pub struct SlopesError {
    /// Step that failed.
    pub step: &'static str,
    /// Cause.
    pub detail: SmolStr,
}

impl SlopesError {
    /// Creates the error of one step.
    pub fn new(step: &'static str, detail: &dyn std::fmt::Display) -> Self {
        Self {
            step,
            detail: detail.to_smolstr(),
        }
    }
}

/// All measurements of one run.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Slopes {
    /// Command that made the measurements.
    pub command: SmolStr,
    /// Cores and load of the machine at the start of the run.
    pub machine: SmolStr,
    /// Measured quantities by name.
    pub series: BTreeMap<SmolStr, Series>,
}

/// One quantity, measured at several sizes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Series {
    /// Size that the quantity grows with.
    pub along: SmolStr,
    /// Unit of the quantity.
    pub unit: SmolStr,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Line through the points.
    pub fit: Fit,
}

/// Straight line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Fit {
    /// Value at size zero.
    pub base: f64,
    /// Growth per unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, in percent of the largest value.
    pub spread_percent: f64,
}

impl Fit {
    /// Fits a line to the points; its slope is zero if all have the same size.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let size_variation: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        let covariation: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean))
            .sum();
        let slope = if size_variation > 0.0 {
            covariation / size_variation
        } else {
            0.0
        };
        let base = mean - slope * mean_size;
        let max_value = points.iter().map(|(_, value)| value.abs());
        let max_value = max_value.fold(f64::MIN_POSITIVE, f64::max);
        let residuals = points
            .iter()
            .map(|(size, value)| (value - base - slope * size).abs());
        let spread_percent = residuals.fold(0.0, f64::max) * 100.0 / max_value;
        Self {
            base,
            slope,
            spread_percent,
        }
    }

    /// Value of the line at one size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl Series {
    /// Creates a series and fits its line.
    pub fn new(along: &str, unit: &str, points: Vec<(f64, f64)>) -> Self {
        Self {
            along: along.into(),
            unit: unit.into(),
            fit: Fit::of(&points),
            points,
        }
    }

    /// Largest measured value.
    pub fn max_value(&self) -> f64 {
        let values = self.points.iter().map(|(_, value)| *value);
        values.fold(0.0, f64::max)
    }

    /// Value measured at the largest size.
    pub fn value_at_largest_size(&self) -> f64 {
        self.points.last().map_or(0.0, |(_, value)| *value)
    }
}

impl Slopes {
    /// Adds a quantity.
    pub fn add(&mut self, name: &str, series: Series) {
        self.series.insert(name.into(), series);
    }

    /// Returns a quantity by name; fails if it was not measured.
    pub fn get(&self, name: &'static str) -> Result<&Series, SlopesError> {
        let missing = || SlopesError::new("find series", &name);
        self.series.get(name).ok_or_else(missing)
    }

    /// Reads the data file.
    pub fn read(path: &Path) -> Result<Self, SlopesError> {
        let text = fs::read_to_string(path).map_err(|error| SlopesError::new("read", &error))?;
        serde_json::from_str(&text).map_err(|error| SlopesError::new("parse", &error))
    }

    /// Writes the data file.
    pub fn write(&self, path: &Path) -> Result<(), SlopesError> {
        let mut text = serde_json::to_string_pretty(self)
            .map_err(|error| SlopesError::new("encode", &error))?;
        text.push('\n');
        fs::write(path, text).map_err(|error| SlopesError::new("write", &error))
    }
}
