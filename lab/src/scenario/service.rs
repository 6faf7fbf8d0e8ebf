//! Services of a scenario and their paths.

use {
    crate::scenario::{ScenarioError, section::Section},
    derive_more::Display,
    smol_str::SmolStr,
};

/// One service with all its workers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: SmolStr,
    /// Calls that one worker runs concurrently.
    pub slots: u32,
    /// Connections that one worker accepts.
    pub connections: u32,
    /// Time during which a new worker is slower.
    pub cold_start_ms: u64,
    /// Data centre of each worker, in order.
    pub workers: Vec<SmolStr>,
    /// Paths of the service.
    pub paths: Vec<PathSpec>,
}

/// Work that one call of a path causes.
#[derive(Debug, Clone, PartialEq)]
pub struct PathSpec {
    /// Path within the service, without a leading slash.
    pub path: SmolStr,
    /// Median service time, without nested calls.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Size of the answer body.
    pub answer_bytes: usize,
    /// Nested calls. Steps run one after the other; the calls of one step run concurrently.
    pub steps: Vec<Vec<CallSpec>>,
}

/// A call to a path of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Display)]
#[display("{service}/{path}")]
pub struct CallSpec {
    /// Name of the service.
    pub service: SmolStr,
    /// Path within the service, without a leading slash.
    pub path: SmolStr,
}

impl ServiceSpec {
    /// Finds a path by name.
    pub fn path(&self, path: &str) -> Option<&PathSpec> {
        self.paths.iter().find(|spec| spec.path == path)
    }
}

impl TryFrom<&Section<'_>> for ServiceSpec {
    type Error = ScenarioError;

    fn try_from(section: &Section<'_>) -> Result<Self, ScenarioError> {
        Ok(Self {
            name: section.name.clone(),
            slots: section.number("slots", None)?,
            connections: section.number("connections", Some(1_000))?,
            cold_start_ms: section.number("cold-start-ms", Some(500))?,
            workers: section.list("workers"),
            paths: Vec::new(),
        })
    }
}

impl TryFrom<&str> for CallSpec {
    type Error = ScenarioError;

    fn try_from(text: &str) -> Result<Self, ScenarioError> {
        let (service, path) = text
            .trim()
            .split_once('/')
            .ok_or_else(|| ScenarioError::Key {
                section: "path".into(),
                key: text.into(),
                detail: "expected service/path".into(),
            })?;
        Ok(Self {
            service: service.into(),
            path: path.into(),
        })
    }
}

/// Adds the path described by a section to its service.
pub(super) fn add_path(
    services: &mut [ServiceSpec],
    section: &Section<'_>,
) -> Result<(), ScenarioError> {
    let call = CallSpec::try_from(section.name.as_str())?;
    let service = services
        .iter_mut()
        .find(|service| service.name == call.service)
        .ok_or_else(|| section.error("service", &"is not described above"))?;
    let steps = section
        .list("calls")
        .iter()
        .map(|step| step.split('+').map(CallSpec::try_from).collect())
        .collect::<Result<_, _>>()?;
    service.paths.push(PathSpec {
        path: call.path,
        median_ms: section.number("median-ms", None)?,
        sigma: section.number("sigma", Some(0.3))?,
        answer_bytes: section.number("answer-bytes", Some(256))?,
        steps,
    });
    Ok(())
}
