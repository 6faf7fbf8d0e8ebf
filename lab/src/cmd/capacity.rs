//! `lab capacity`.

use {
    crate::cmd,
    lab::{
        capacity::page,
        slopes::{Slopes, SlopesError},
    },
    std::{error::Error, fs, path::Path},
};

const DEFAULT_DATA: &str = "docs/capacity/slopes.json";
const DEFAULT_PAGE: &str = "docs/CAPACITY.md";

/// Updates the tables of the page, or checks that they are up to date.
pub(super) fn run(flags: &cmd::Capacity) -> Result<(), Box<dyn Error>> {
    let data = flags.data.as_deref().unwrap_or(Path::new(DEFAULT_DATA));
    let path = flags.page.as_deref().unwrap_or(Path::new(DEFAULT_PAGE));
    let current = fs::read_to_string(path)?;
    let updated = page::fill(&current, &Slopes::read(data)?)?;
    if flags.check && updated != current {
        return Err(SlopesError::new("check page", &"its tables are not those of the data").into());
    }
    if updated != current {
        fs::write(path, updated)?;
    }
    Ok(())
}
