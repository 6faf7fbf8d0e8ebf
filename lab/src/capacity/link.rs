//! Bytes between regions.

use crate::{
    capacity::{Plan, S_PER_DAY, daemon},
    slopes::{Slopes, SlopesError},
};

/// Watching daemons of one data centre.
const READERS: f64 = 2.0;

/// Summaries and beats from one data centre to another.
pub fn pair_bytes_per_s(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    let by_services = slopes.get("between-by-services")?;
    Ok(by_services.fit.at(plan.services_of_centre()))
}

/// Summaries over all borders of regions, all directions.
pub fn summaries_bytes_per_s(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(pair_bytes_per_s(plan, slopes)? * plan.region_pairs())
}

/// Summaries out of the region that sends most.
pub fn busiest_bytes_per_s(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    let all = plan.data_centres();
    let pairs = plan.regions.iter().map(|own| own * (all - own));
    Ok(pair_bytes_per_s(plan, slopes)? * pairs.fold(0.0, f64::max))
}

/// One change read by the watchers of all regions but the store's own, the largest.
pub fn change_bytes(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    let own = plan.regions.iter().copied().fold(0.0, f64::max);
    let readers = (plan.data_centres() - own) * READERS;
    Ok(daemon::document_bytes(plan, slopes)? * readers)
}

/// Volume of a day over all borders of regions, in bytes: summaries, then configuration.
pub fn day_bytes(plan: &Plan, slopes: &Slopes) -> Result<(f64, f64), SlopesError> {
    let summaries = summaries_bytes_per_s(plan, slopes)? * S_PER_DAY;
    let changes = change_bytes(plan, slopes)? * plan.changes_per_day;
    Ok((summaries, changes))
}
