//! Scenario files: parses stand-ins, loads and faults from INI and checks them.

mod load;
mod section;
mod service;

use {
    crate::scenario::section::Section,
    derive_more::{Display, Error},
    ini::Ini,
    smol_str::{SmolStr, ToSmolStr},
    std::{fs, path::Path},
};

pub use crate::scenario::{
    load::{ClassSpec, Fault, FaultSpec, LoadSpec, Resend, Target},
    service::{CallSpec, PathSpec, ServiceSpec},
};

/// Error in a scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[display("read {file}: {detail}")]
    Read {
        /// Name of the file.
        file: SmolStr,
        /// Cause.
        detail: SmolStr,
    },
    /// A key is missing or has a bad value.
    #[display("[{section}] {key}: {detail}")]
    Key {
        /// Section of the key.
        section: SmolStr,
        /// Name of the key.
        key: SmolStr,
        /// Cause.
        detail: SmolStr,
    },
}

/// A checked scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in reports.
    pub name: SmolStr,
    /// Seed of arrivals, service times and identities.
    pub seed: u64,
    /// Duration of the load before the counted load.
    pub warm_up_ms: u64,
    /// Duration of the counted load.
    pub run_ms: u64,
    /// Service that is the capacity bottleneck.
    pub scarce: Option<SmolStr>,
    /// One-way delay between data centres of a region.
    pub delay_us: u64,
    /// One-way delay between regions.
    pub region_delay_us: u64,
    /// Data centres and their regions.
    pub data_centres: Vec<DataCentreSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Open-loop loads.
    pub loads: Vec<LoadSpec>,
    /// Faults in the order of the file.
    pub faults: Vec<FaultSpec>,
}

/// One data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: SmolStr,
    /// Region of the data centre.
    pub region: SmolStr,
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let read_error = |detail: SmolStr| ScenarioError::Read {
            file: path.display().to_smolstr(),
            detail,
        };
        let text = fs::read_to_string(path).map_err(|error| read_error(error.to_smolstr()))?;
        let ini = Ini::load_from_str(&text).map_err(|error| read_error(error.to_smolstr()))?;
        Self::try_from(&ini)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&ClassSpec> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the region of a data centre; empty if it is unknown.
    pub fn region(&self, data_centre: &str) -> SmolStr {
        self.data_centres
            .iter()
            .find(|spec| spec.name == data_centre)
            .map(|spec| spec.region.clone())
            .unwrap_or_default()
    }

    /// Lists the services called in the tree of one request, once for each call.
    pub fn called_services(&self, call: &CallSpec) -> Vec<SmolStr> {
        let mut services = vec![call.service.clone()];
        let path = self
            .service(&call.service)
            .and_then(|service| service.path(&call.path));
        for nested in path.iter().flat_map(|path| path.steps.iter().flatten()) {
            services.extend(self.called_services(nested));
        }
        services
    }

    /// Sets the factor of all surges.
    pub fn set_surge_factor(&mut self, factor: f64) {
        for spec in &mut self.faults {
            if let Fault::Surge(_, own) = &mut spec.fault {
                *own = factor;
            }
        }
    }

    /// Latest end of a fault, since the start of the counted load.
    pub fn triggers_end_ms(&self) -> Option<u64> {
        self.faults.iter().map(FaultSpec::end_ms).max()
    }

    /// Earliest start of a fault, since the start of the counted load.
    pub fn triggers_begin_ms(&self) -> Option<u64> {
        self.faults.iter().map(|fault| fault.at_ms).min()
    }

    fn check_calls(&self) -> Result<(), ScenarioError> {
        let nested = self
            .services
            .iter()
            .flat_map(|service| &service.paths)
            .flat_map(|path| path.steps.iter().flatten());
        let entries = self.loads.iter().map(|load| &load.call);
        for call in nested.chain(entries) {
            let known = self
                .service(&call.service)
                .is_some_and(|service| service.path(&call.path).is_some());
            if !known {
                return Err(ScenarioError::Key {
                    section: "path".into(),
                    key: call.to_smolstr(),
                    detail: "is called, but not described".into(),
                });
            }
        }
        Ok(())
    }
}

impl TryFrom<&Ini> for Scenario {
    type Error = ScenarioError;

    fn try_from(ini: &Ini) -> Result<Self, ScenarioError> {
        let sections = Section::all(ini);
        let of_kind = |kind: &'static str| sections.iter().filter(move |it| it.kind == kind);
        let main = of_kind("scenario")
            .next()
            .ok_or_else(|| ScenarioError::Key {
                section: "scenario".into(),
                key: "name".into(),
                detail: "is missing".into(),
            })?;
        let mut services = of_kind("service")
            .map(ServiceSpec::try_from)
            .collect::<Result<Vec<_>, _>>()?;
        for section in of_kind("path") {
            service::add_path(&mut services, section)?;
        }
        let data_centres = of_kind("data-centre")
            .map(|section| {
                Ok(DataCentreSpec {
                    name: section.name.clone(),
                    region: section.text("region")?,
                })
            })
            .collect::<Result<_, _>>()?;
        let scenario = Self {
            name: main.text("name")?,
            seed: main.number("seed", Some(1))?,
            warm_up_ms: main.number("warm-up-ms", Some(2_000))?,
            run_ms: main.number("run-ms", Some(10_000))?,
            scarce: main.optional("scarce"),
            delay_us: main.number("delay-us", Some(0))?,
            region_delay_us: main.number("region-delay-us", Some(0))?,
            data_centres,
            services,
            classes: of_kind("class")
                .map(ClassSpec::try_from)
                .collect::<Result<_, _>>()?,
            loads: of_kind("load")
                .map(LoadSpec::try_from)
                .collect::<Result<_, _>>()?,
            faults: of_kind("fault")
                .map(FaultSpec::try_from)
                .collect::<Result<_, _>>()?,
        };
        scenario.check_calls()?;
        Ok(scenario)
    }
}
