//! Predicted traffic between data centres and between regions.

use crate::{
    capacity::{Plan, S_PER_DAY, daemon},
    slopes::{Slopes, SlopesError},
};

/// Daemons per data centre that watch the store.
const READERS_PER_DATA_CENTRE: f64 = 2.0;

/// Bytes per second of summaries and heartbeats from one data centre to another.
pub fn pair_bytes_per_s(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    let by_services = slopes.get("between-by-services")?;
    Ok(by_services.fit.at(plan.services_per_data_centre()))
}

/// Bytes per second of summaries between all regions, in all directions.
pub fn summaries_bytes_per_s(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(pair_bytes_per_s(plan, slopes)? * plan.region_pairs())
}

/// Bytes per second of summaries sent by the region that sends the most.
pub fn busiest_bytes_per_s(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    let all = plan.data_centres();
    let pairs = plan
        .data_centres_by_region
        .iter()
        .map(|own| own * (all - own));
    Ok(pair_bytes_per_s(plan, slopes)? * pairs.fold(0.0, f64::max))
}

/// Bytes of one configuration change, read by the watchers of all regions but the store's. The
/// largest region is assumed to hold the store.
pub fn change_bytes(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    let own = plan
        .data_centres_by_region
        .iter()
        .copied()
        .fold(0.0, f64::max);
    let readers = (plan.data_centres() - own) * READERS_PER_DATA_CENTRE;
    Ok(daemon::document_bytes(plan, slopes)? * readers)
}

/// Bytes per day between all regions: of summaries and of the configuration.
pub fn day_bytes(plan: &Plan, slopes: &Slopes) -> Result<(f64, f64), SlopesError> {
    let summaries = summaries_bytes_per_s(plan, slopes)? * S_PER_DAY;
    let changes = change_bytes(plan, slopes)? * plan.changes_per_day;
    Ok((summaries, changes))
}
