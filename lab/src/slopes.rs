//! Measured costs by the size that they grow with, and the line through them.

pub mod daemons;
pub mod decisions;
pub mod state;

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, ToSmolStr},
    std::{collections::BTreeMap, fs, path::Path},
};

/// Failure to measure, or to read or write what was measured.
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
    /// Error of one step.
    pub fn new(step: &'static str, detail: &dyn std::fmt::Display) -> Self {
        Self {
            step,
            detail: detail.to_smolstr(),
        }
    }
}

/// All that was measured in one run.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Slopes {
    /// Command that measures.
    pub command: SmolStr,
    /// State of the machine during the run.
    pub machine: SmolStr,
    /// Measured quantities by name.
    pub series: BTreeMap<SmolStr, Series>,
}

/// One quantity, measured at several sizes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Series {
    /// What it grows with.
    pub along: SmolStr,
    /// Unit of the quantity.
    pub unit: SmolStr,
    /// Size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Line through the points.
    pub fit: Fit,
}

/// Straight line by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Fit {
    /// Value at size zero.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub spread_percent: f64,
}

impl Fit {
    /// Line through the points; level if they share one size.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_at = points.iter().map(|(at, _)| at).sum::<f64>() / count;
        let mean = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let width: f64 = points.iter().map(|(at, _)| (at - mean_at).powi(2)).sum();
        let joint: f64 = points
            .iter()
            .map(|(at, value)| (at - mean_at) * (value - mean))
            .sum();
        let slope = if width > 0.0 { joint / width } else { 0.0 };
        let base = mean - slope * mean_at;
        let most = points.iter().map(|(_, value)| value.abs());
        let most = most.fold(f64::MIN_POSITIVE, f64::max);
        let gaps = points
            .iter()
            .map(|(at, value)| (value - base - slope * at).abs());
        let spread_percent = gaps.fold(0.0, f64::max) * 100.0 / most;
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
    /// Series with its line.
    pub fn new(along: &str, unit: &str, points: Vec<(f64, f64)>) -> Self {
        Self {
            along: along.into(),
            unit: unit.into(),
            fit: Fit::of(&points),
            points,
        }
    }

    /// Largest measured value.
    pub fn most(&self) -> f64 {
        let values = self.points.iter().map(|(_, value)| *value);
        values.fold(0.0, f64::max)
    }

    /// Value measured at the largest size.
    pub fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |(_, value)| *value)
    }
}

impl Slopes {
    /// Adds a quantity.
    pub fn add(&mut self, name: &str, series: Series) {
        self.series.insert(name.into(), series);
    }

    /// A quantity that the tables need.
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
