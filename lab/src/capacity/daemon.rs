//! Predicted load of one daemon.

use crate::{
    capacity::{Plan, link},
    slopes::{Slopes, SlopesError},
};

/// Limit of run-once records of a daemon.
const MAX_RUN_ONCE_RECORDS: f64 = 100_000.0;
/// Limit of the bytes of answers kept for replay.
const MAX_ANSWER_BYTES: f64 = (32 << 20) as f64;
/// Bytes of the answer in each measured record.
const MEASURED_ANSWER_BYTES: f64 = 1_000.0;
/// Limit of the bytes per second of updates and digests.
const MAX_GOSSIP_BYTES_PER_S: f64 = 6_000.0;
const MAX_CRASH_RECORDS: f64 = 4_096.0;
const MAX_EVENTS: f64 = 16_384.0;
const MAX_CONNECTIONS: f64 = 4_096.0;
/// Assumed number of other data centres to which one member sends summaries. Members are chosen by
/// hash, so that one member may be chosen more than once.
const CROSS_CENTRE_LINKS: f64 = 2.0;

/// Predicted load of one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DaemonLoad {
    /// Processor time for control, in microseconds per second.
    pub control_us_per_s: f64,
    /// Processor time for calls as ingress and as gate, in microseconds per second.
    pub calls_us_per_s: f64,
    /// Resident memory with all bounded state at its limits.
    pub memory_bytes: f64,
    /// Resident memory without records, events and connections.
    pub idle_bytes: f64,
    /// Bytes per second sent for control by a daemon that sends summaries to two data centres and
    /// serves one configuration document per change.
    pub sent_bytes_per_s: f64,
    /// The same for the daemon that serves the most documents.
    pub busiest_bytes_per_s: f64,
}

impl DaemonLoad {
    /// Predicts the load at a size.
    pub fn of(plan: &Plan, slopes: &Slopes) -> Result<Self, SlopesError> {
        let change_us = slopes.get("config-decode")?.fit.at(plan.services);
        // Measured fleets of processes are small. The growth with the members is the work on the
        // fleet view, which is measured separately.
        let idle_us =
            slopes.get("idle-cpu")?.max_value() + slopes.get("gossip-cpu")?.fit.at(plan.members());
        let calls = slopes.get("calls-two")?;
        let calls_us =
            calls.fit.at(plan.calls_per_s_per_daemon()) - 2.0 * slopes.get("idle-cpu")?.max_value();
        let idle_bytes = slopes.get("idle-memory")?.fit.at(plan.members())
            + slopes.get("summaries-bytes")?.fit.slope * plan.summaries();
        let document = document_bytes(plan, slopes)? * plan.changes_per_s();
        let served = slopes.get("config-served")?.fit.at(plan.members());
        let gossip = slopes.get("gossip-most")?;
        let gossip = gossip
            .fit
            .at(plan.members())
            .clamp(gossip.value_at_largest_size(), MAX_GOSSIP_BYTES_PER_S);
        let cross_centre = link::pair_bytes_per_s(plan, slopes)? * CROSS_CENTRE_LINKS;
        Ok(Self {
            control_us_per_s: idle_us + change_us * plan.changes_per_s(),
            calls_us_per_s: calls_us.max(0.0),
            memory_bytes: idle_bytes + full_state_bytes(slopes)?,
            idle_bytes,
            sent_bytes_per_s: gossip + cross_centre + document,
            busiest_bytes_per_s: gossip + cross_centre + document * served,
        })
    }
}

/// Size of the encoded configuration.
pub fn document_bytes(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("config-bytes")?.fit.at(plan.services))
}

/// Memory of run-once records at their limit.
pub fn once_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    let record = slopes.get("once-bytes")?.fit.slope - MEASURED_ANSWER_BYTES;
    Ok(record.max(0.0) * MAX_RUN_ONCE_RECORDS + MAX_ANSWER_BYTES)
}

/// Memory of the crash records for quarantine at their limit.
pub fn suspects_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("suspects-bytes")?.fit.slope * MAX_CRASH_RECORDS)
}

/// Memory of the events kept for operators at their limit.
pub fn traces_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("traces-bytes")?.fit.slope * MAX_EVENTS)
}

/// Memory of connections at the default limit.
pub fn connections_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("connection-memory")?.fit.slope * MAX_CONNECTIONS)
}

fn full_state_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(once_bytes(slopes)?
        + suspects_bytes(slopes)?
        + traces_bytes(slopes)?
        + connections_bytes(slopes)?)
}
