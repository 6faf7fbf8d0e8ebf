//! Load of one daemon.

use crate::{
    capacity::{Plan, link},
    slopes::{Slopes, SlopesError},
};

/// Run-once records that a daemon keeps at most.
const RECORDS: f64 = 100_000.0;
/// Bytes of answers kept for replay at most.
const ANSWERS_BYTES: f64 = (32 << 20) as f64;
/// Bytes of each answer in the measured records.
const MEASURED_ANSWER_BYTES: f64 = 1_000.0;
/// Bytes a second that news and digests may cost.
const GOSSIP_BYTES_PER_S: f64 = 6_000.0;
const DEATHS: f64 = 4_096.0;
const EVENTS: f64 = 16_384.0;
const CONNECTIONS: f64 = 4_096.0;
/// Data centres that one member may have to speak to by chance.
const SPOKEN: f64 = 2.0;

/// Predicted load of one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Processor time for control, in microseconds a second.
    pub control_us_per_s: f64,
    /// Processor time for calls, as ingress and as gate.
    pub calls_us_per_s: f64,
    /// Resident memory with all memories full.
    pub memory_bytes: f64,
    /// Resident memory with empty memories and no connection.
    pub idle_bytes: f64,
    /// Sent for control by a daemon that speaks to two data centres and hands out a document once a
    /// change.
    pub sent_bytes_per_s: f64,
    /// The same of the daemon that hands out most documents.
    pub busiest_bytes_per_s: f64,
}

impl Load {
    /// Load at a size.
    pub fn of(plan: &Plan, slopes: &Slopes) -> Result<Self, SlopesError> {
        let change_us = slopes.get("config-decode")?.fit.at(plan.services);
        // Measured fleets are small; what grows beyond them is the view's own work.
        let idle_us =
            slopes.get("idle-cpu")?.most() + slopes.get("gossip-cpu")?.fit.at(plan.members());
        let calls = slopes.get("calls-two")?;
        let calls_us = calls.fit.at(plan.calls_of_daemon()) - 2.0 * slopes.get("idle-cpu")?.most();
        let idle_bytes = slopes.get("idle-memory")?.fit.at(plan.members())
            + slopes.get("summaries-bytes")?.fit.slope * plan.summaries();
        let document = document_bytes(plan, slopes)? * plan.changes_per_s();
        let served = slopes.get("config-served")?.fit.at(plan.members());
        let gossip = slopes.get("gossip-most")?;
        let gossip = gossip
            .fit
            .at(plan.members())
            .clamp(gossip.last(), GOSSIP_BYTES_PER_S);
        let spoken = link::pair_bytes_per_s(plan, slopes)? * SPOKEN;
        Ok(Self {
            control_us_per_s: idle_us + change_us * plan.changes_per_s(),
            calls_us_per_s: calls_us.max(0.0),
            memory_bytes: idle_bytes + memories_bytes(slopes)?,
            idle_bytes,
            sent_bytes_per_s: gossip + spoken + document,
            busiest_bytes_per_s: gossip + spoken + document * served,
        })
    }
}

/// Size of the configuration.
pub fn document_bytes(plan: &Plan, slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("config-bytes")?.fit.at(plan.services))
}

/// Run-once memory when it is full.
pub fn once_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    let record = slopes.get("once-bytes")?.fit.slope - MEASURED_ANSWER_BYTES;
    Ok(record.max(0.0) * RECORDS + ANSWERS_BYTES)
}

/// Memory of quarantine and events when it is full.
pub fn suspects_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("suspects-bytes")?.fit.slope * DEATHS)
}

/// Events kept for operators.
pub fn traces_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("traces-bytes")?.fit.slope * EVENTS)
}

/// Connections, as many as the default limit lets in.
pub fn connections_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(slopes.get("connection-memory")?.fit.slope * CONNECTIONS)
}

fn memories_bytes(slopes: &Slopes) -> Result<f64, SlopesError> {
    Ok(once_bytes(slopes)?
        + suspects_bytes(slopes)?
        + traces_bytes(slopes)?
        + connections_bytes(slopes)?)
}
