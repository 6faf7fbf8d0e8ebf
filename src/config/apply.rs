//! Applies changes to the configuration atomically.

use crate::config::{
    Change, ClassEdit, ClassRule, Config, DEFAULT_CLASS, DrainOrder, DrainTarget, Edit, EditCause,
    EditError, MAX_CONFIG_BYTES, MAX_TEXT_BYTES, Proposal, Revision, Rules, RulesEdit, ServiceEdit,
    ServiceRule, check,
};

const MAX_ORDERS: usize = 1_024;
/// Largest number of releases from quarantine that are kept.
const MAX_LIFTED: usize = 512;
const MAX_HISTORY: usize = 64;
const MAX_HISTORY_BYTES: usize = 32 << 10;

impl Config {
    /// Returns the configuration after the proposed change.
    ///
    /// # Errors
    ///
    /// Fails if an edit cannot be applied or the new configuration exceeds a bound.
    pub fn apply(&self, proposal: &Proposal, now_unix_ms: u64) -> Result<Self, EditError> {
        let mut next = self.clone();
        next.revision = Revision(self.revision.0 + 1);
        for (index, edit) in proposal.edits.iter().enumerate() {
            next.apply_edit(edit)
                .map_err(|cause| EditError { index, cause })?;
        }
        next.append_history(proposal, now_unix_ms);
        next.check_size(proposal).map_err(|cause| EditError {
            index: proposal.edits.len().saturating_sub(1),
            cause,
        })?;
        Ok(next)
    }

    fn apply_edit(&mut self, edit: &Edit) -> Result<(), EditCause> {
        match edit {
            Edit::CreateService(name, values) => self.create_service(name, *values),
            Edit::ChangeService(name, values) => self.change_service(name, *values),
            Edit::DropService(name) => self.drop_service(name),
            Edit::CreateClass(name, values) => self.create_class(name, *values),
            Edit::ChangeClass(name, values) => self.change_class(name, *values),
            Edit::DropClass(name) => self.drop_class(name),
            Edit::Set(values) => values.apply(&mut self.rules),
            Edit::Order(order) => self.set_order(order),
            Edit::Undrain(target) => self.remove_order(target),
            Edit::Lift(fingerprint) => self.lift_quarantine(fingerprint),
        }
    }

    fn create_service(&mut self, name: &str, values: ServiceEdit) -> Result<(), EditCause> {
        let name = check::valid_name(name)?;
        if self.services.contains_key(&name) {
            return Err(EditCause::Exists { what: "service" });
        }
        let mut rule = ServiceRule::default();
        values.apply(&mut rule)?;
        self.services.insert(name, rule);
        check::services(self.services.len())
    }

    fn change_service(&mut self, name: &str, values: ServiceEdit) -> Result<(), EditCause> {
        let missing = EditCause::Missing { what: "service" };
        let rule = self.services.get_mut(name).ok_or(missing)?;
        values.apply(rule)
    }

    fn drop_service(&mut self, name: &str) -> Result<(), EditCause> {
        let missing = EditCause::Missing { what: "service" };
        self.services.remove(name).map(drop).ok_or(missing)
    }

    fn create_class(&mut self, name: &str, values: ClassEdit) -> Result<(), EditCause> {
        let name = check::valid_name(name)?;
        if self.classes.contains_key(&name) {
            return Err(EditCause::Exists { what: "class" });
        }
        let mut rule = ClassRule::default();
        values.apply(&mut rule)?;
        self.classes.insert(name, rule);
        check::classes(self.classes.len())
    }

    fn change_class(&mut self, name: &str, values: ClassEdit) -> Result<(), EditCause> {
        let missing = EditCause::Missing { what: "class" };
        let rule = self.classes.get_mut(name).ok_or(missing)?;
        values.apply(rule)
    }

    fn drop_class(&mut self, name: &str) -> Result<(), EditCause> {
        if name == DEFAULT_CLASS {
            return Err(EditCause::DefaultClass);
        }
        let missing = EditCause::Missing { what: "class" };
        self.classes.remove(name).map(drop).ok_or(missing)
    }

    fn set_order(&mut self, order: &DrainOrder) -> Result<(), EditCause> {
        let target = order.target.validated()?;
        self.orders.retain(|other| other.target != target);
        self.orders.push(DrainOrder {
            target,
            stop: order.stop,
        });
        check::at_most("drain orders", self.orders.len(), MAX_ORDERS)
    }

    fn remove_order(&mut self, target: &DrainTarget) -> Result<(), EditCause> {
        let target = target.validated()?;
        let count = self.orders.len();
        self.orders.retain(|other| other.target != target);
        if self.orders.len() < count {
            return Ok(());
        }
        Err(EditCause::Missing { what: "order" })
    }

    fn lift_quarantine(&mut self, fingerprint: &str) -> Result<(), EditCause> {
        let fingerprint = check::valid_name(fingerprint)?;
        self.lifted.insert(fingerprint, self.revision);
        while self.lifted.len() > MAX_LIFTED {
            self.evict_oldest_lift();
        }
        Ok(())
    }

    fn evict_oldest_lift(&mut self) {
        let oldest = self.lifted.iter().min_by_key(|(_, revision)| **revision);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| fingerprint.clone()) {
            self.lifted.remove(&fingerprint);
        }
    }

    fn append_history(&mut self, proposal: &Proposal, now_unix_ms: u64) {
        self.history.push(Change {
            id: proposal.id.clone(),
            revision: self.revision,
            at_unix_ms: now_unix_ms,
            text: proposal.text.clone(),
        });
        let mut bytes: usize = self.history.iter().map(|change| change.text.len()).sum();
        while self.history.len() > MAX_HISTORY || bytes > MAX_HISTORY_BYTES {
            bytes -= self.history.remove(0).text.len();
        }
    }

    fn check_size(&self, proposal: &Proposal) -> Result<(), EditCause> {
        check::at_most("bytes of text", proposal.text.len(), MAX_TEXT_BYTES)?;
        check::at_most(
            "bytes of configuration",
            self.encode().len(),
            MAX_CONFIG_BYTES,
        )
    }
}

impl ServiceEdit {
    fn apply(self, rule: &mut ServiceRule) -> Result<(), EditCause> {
        rule.retry_ratio_percent = self.retry_ratio_percent.unwrap_or(rule.retry_ratio_percent);
        rule.timeout_ms = self.timeout_ms.unwrap_or(rule.timeout_ms);
        check::service(rule)
    }
}

impl ClassEdit {
    fn apply(self, rule: &mut ClassRule) -> Result<(), EditCause> {
        rule.importance = self.importance.unwrap_or(rule.importance);
        rule.retry_allowance = self.retry_allowance.unwrap_or(rule.retry_allowance);
        rule.idempotent = self.idempotent.unwrap_or(rule.idempotent);
        rule.deadline_ms = self.deadline_ms.unwrap_or(rule.deadline_ms);
        check::class(rule)
    }
}

impl RulesEdit {
    fn apply(self, rules: &mut Rules) -> Result<(), EditCause> {
        rules.stop_limit_ms = self.stop_limit_ms.unwrap_or(rules.stop_limit_ms);
        rules.recovery_weight_percent = self
            .recovery_weight_percent
            .unwrap_or(rules.recovery_weight_percent);
        rules.unlisted_services = self.unlisted_services.unwrap_or(rules.unlisted_services);
        check::rules(rules)
    }
}

impl DrainTarget {
    fn validated(&self) -> Result<Self, EditCause> {
        Ok(match self {
            Self::Worker(name) => Self::Worker(check::valid_name(name)?),
            Self::Vm(ip) => Self::Vm(check::valid_ip(ip)?),
            Self::DataCentre(name) => Self::DataCentre(check::valid_name(name)?),
        })
    }
}
