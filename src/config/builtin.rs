//! Default configuration, and lookups that fall back to it.

use {
    crate::{
        config::{Change, ClassRule, Config, DrainTarget, Revision, Rules, ServiceRule},
        request::{ClassName, Importance},
    },
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Class of a request that names no class or one that is not configured.
pub const DEFAULT_CLASS: &str = "default";

const DEFAULT_RULE: ClassRule = ClassRule {
    importance: Importance(2),
    retry_allowance: 2,
    idempotent: false,
    deadline_ms: 10_000,
};

impl Config {
    /// Configuration before the first change: the built-in classes and no services.
    pub fn initial() -> Self {
        Self {
            classes: builtin_classes(),
            ..Self::default()
        }
    }

    /// Configuration of a daemon without a store: every announced service is served.
    pub fn standalone() -> Self {
        let mut config = Self::initial();
        config.rules.unlisted_services = true;
        config
    }

    /// Rule of a service; `None` if requests to it are refused because the service is unknown.
    pub fn service(&self, name: &str) -> Option<ServiceRule> {
        let rule = self.services.get(name).cloned();
        rule.or_else(|| self.rules.unlisted_services.then(ServiceRule::default))
    }

    /// Rule of a class; a class that is not configured gets the rule of the class `default`.
    pub fn class(&self, name: &str) -> ClassRule {
        self.classes
            .get(name)
            .or_else(|| self.classes.get(DEFAULT_CLASS))
            .cloned()
            .unwrap_or_default()
    }

    /// Change that made the current revision.
    pub fn last_change(&self) -> Option<&Change> {
        self.history.last()
    }

    /// Sort key of configurations; daemons enforce the greatest one.
    ///
    /// Two different configurations have the same revision only if the store lost writes. The
    /// identifier of the last change then breaks the tie, in the same way at each daemon.
    pub fn precedence(&self) -> (Revision, &str) {
        let id = self.last_change().map_or("", |change| change.id.as_str());
        (self.revision, id)
    }

    /// Change with this identifier, if it is still in the history.
    pub fn change(&self, id: &str) -> Option<&Change> {
        self.history.iter().rev().find(|change| change.id == id)
    }

    /// Whether the change that made `revision` is still in the history.
    pub fn has_change_at(&self, revision: Revision) -> bool {
        self.history
            .iter()
            .any(|change| change.revision == revision)
    }

    /// Drain order for a worker: `Some(true)` to drain and stop it, `Some(false)` to drain it only,
    /// `None` if there is no order.
    pub fn drain_order(&self, worker: &str, vm: &str, data_centre: &str) -> Option<bool> {
        let covers = |target: &DrainTarget| match target {
            DrainTarget::Worker(name) => name == worker,
            DrainTarget::Vm(ip) => ip == vm,
            DrainTarget::DataCentre(name) => name == data_centre,
        };
        self.orders
            .iter()
            .filter(|order| covers(&order.target))
            .map(|order| order.stop)
            .max()
    }
}

impl Default for ClassRule {
    fn default() -> Self {
        DEFAULT_RULE
    }
}

impl Rules {
    /// Weight of recovery time as a fraction between 0 and 1.
    pub fn recovery_weight(&self) -> f64 {
        f64::from(self.recovery_weight_percent) / 100.0
    }
}

fn builtin_classes() -> BTreeMap<ClassName, ClassRule> {
    let order = ClassRule {
        importance: Importance(0),
        retry_allowance: 3,
        idempotent: false,
        deadline_ms: 10_000,
    };
    let read = ClassRule {
        importance: Importance(4),
        retry_allowance: 2,
        idempotent: true,
        deadline_ms: 5_000,
    };
    BTreeMap::from([
        (SmolStr::new_static("order"), order),
        (SmolStr::new_static("read"), read),
        (SmolStr::new_static(DEFAULT_CLASS), DEFAULT_RULE),
    ])
}
