//! State of a daemon and its fleet, as shown to operators.

use {
    crate::{
        ask::{
            statement::Filter,
            view::{
                DataCentreRow, EnforcedRow, EventRow, QuarantineRow, ServiceRow, View, WorkerRow,
            },
        },
        config::Config,
        fleet::{
            Fleet,
            member::{AdvertisedWorker, Member, Status},
        },
        node::Node,
        policy::suspect::SuspectVerdict,
        request::{Level, RequestId},
    },
    parking_lot::Mutex,
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{collections::BTreeMap, sync::Arc},
};

/// State of a node and its view of the fleet.
pub struct NodeView {
    /// Shared state.
    pub node: Arc<Node>,
    /// View of the fleet.
    pub fleet: Arc<Mutex<Fleet>>,
}

impl View for NodeView {
    fn config(&self) -> Arc<Config> {
        self.node.config()
    }

    fn services(&self) -> Vec<ServiceRow> {
        let fleet = self.fleet.lock();
        let mut rows = BTreeMap::new();
        for advertised in local_members(&fleet).filter_map(|member| member.worker.as_ref()) {
            add_worker(&mut rows, advertised);
        }
        for summary in fleet.remote().all_summaries().values() {
            let row = service_row(&mut rows, &summary.service);
            row.serving += summary.workers.len() as u32;
            row.capacity += summary.slots;
            row.in_flight += summary.load;
        }
        rows.into_values().collect()
    }

    fn workers(&self) -> Vec<WorkerRow> {
        let fleet = self.fleet.lock();
        let own = local_members(&fleet)
            .filter_map(|member| Some(worker_row(member, member.worker.as_ref()?)));
        let mut rows: Vec<_> = own.collect();
        rows.sort_by(|one, other| one.worker.cmp(&other.worker));
        rows
    }

    fn data_centres(&self) -> Vec<DataCentreRow> {
        let now_us = self.node.clock.now_us();
        let fleet = self.fleet.lock();
        let place = &fleet.local_member().place;
        let live: Vec<_> = local_members(&fleet)
            .filter(|member| member.status.is_live())
            .collect();
        let lowest = live.iter().map(|member| member.revision).min();
        let mut rows = vec![DataCentreRow {
            data_centre: place.data_centre.0.clone(),
            region: place.region.0.clone(),
            daemons: live.len() as u32,
            revision: lowest.unwrap_or_default(),
            silent_ms: 0,
        }];
        rows.extend(
            fleet
                .remote()
                .centres()
                .iter()
                .map(|(name, centre)| DataCentreRow {
                    data_centre: name.0.clone(),
                    region: centre.region.0.clone(),
                    daemons: centre.contacts.len() as u32,
                    revision: centre.revision_min,
                    silent_ms: now_us.saturating_sub(centre.last_heartbeat_us) / 1_000,
                }),
        );
        rows
    }

    fn quarantine(&self) -> Vec<QuarantineRow> {
        let local = self.node.local.lock();
        let rows = local.suspects.list(self.node.clock.now_unix_ms());
        let quarantined = rows
            .into_iter()
            .filter(|row| row.verdict == SuspectVerdict::Quarantined);
        let refused = self.node.metrics.get("refused.quarantined");
        quarantined
            .map(|row| QuarantineRow {
                fingerprint: row.fingerprint.to_smolstr(),
                service: row.service,
                deaths: row.crashes as u32,
                refused,
            })
            .collect()
    }

    fn enforced(&self, filter: &Filter) -> Vec<EnforcedRow> {
        let fleet = self.fleet.lock();
        let own = local_members(&fleet)
            .filter(|member| member.status.is_live() && matches_filter(member, filter))
            .map(|member| EnforcedRow {
                at: member.place.name.clone(),
                data_centre: member.place.data_centre.0.clone(),
                revision: member.revision,
            });
        let others = fleet.remote().centres().iter();
        let others = others
            .filter(|(name, _)| match filter {
                Filter::All | Filter::Class(_) => true,
                Filter::DataCentre(wanted) => name.0 == *wanted,
                Filter::Service(_) | Filter::Worker(_) => false,
            })
            .map(|(name, centre)| EnforcedRow {
                at: name.0.clone(),
                data_centre: name.0.clone(),
                revision: centre.revision_min,
            });
        own.chain(others).collect()
    }

    fn explain(&self, request_id: RequestId) -> Vec<EventRow> {
        self.node
            .traces
            .lock()
            .events_of(request_id, &self.node.settings.place.name)
    }
}

/// All members of this daemon's data centre, this daemon first.
fn local_members(fleet: &Fleet) -> impl Iterator<Item = &Member> {
    let own_name = &fleet.local_member().place.name;
    let others = fleet
        .members()
        .filter(move |member| member.place.name != *own_name);
    std::iter::once(fleet.local_member()).chain(others)
}

fn matches_filter(member: &Member, filter: &Filter) -> bool {
    match filter {
        Filter::All | Filter::Class(_) => true,
        Filter::Service(service) => member
            .worker
            .as_ref()
            .is_some_and(|advertised| advertised.service == *service),
        Filter::Worker(name) => member.place.name == *name,
        Filter::DataCentre(name) => member.place.data_centre.0 == *name,
    }
}

fn service_row<'a>(
    rows: &'a mut BTreeMap<SmolStr, ServiceRow>,
    service: &SmolStr,
) -> &'a mut ServiceRow {
    rows.entry(service.clone()).or_insert_with(|| ServiceRow {
        service: service.clone(),
        serving: 0,
        draining: 0,
        capacity: 0,
        in_flight: 0,
        admitted: "all".into(),
    })
}

fn add_worker(rows: &mut BTreeMap<SmolStr, ServiceRow>, advertised: &AdvertisedWorker) {
    let row = service_row(rows, &advertised.service);
    row.in_flight += u32::from(advertised.load);
    if advertised.draining {
        row.draining += 1;
        return;
    }
    row.serving += 1;
    row.capacity += advertised.slots;
    if advertised.level != Level::OPEN {
        row.admitted = format_smolstr!("level {} of {}", advertised.level, Level::OPEN);
    }
}

fn worker_row(member: &Member, advertised: &AdvertisedWorker) -> WorkerRow {
    let state = match (member.status, advertised.draining) {
        (Status::Alive, false) => "serving",
        (Status::Alive, true) => "draining",
        (Status::Suspect, _) => "suspected",
        (Status::Left, _) => "stopped",
        (Status::Dead, _) => "dead",
    };
    WorkerRow {
        worker: member.place.name.clone(),
        service: advertised.service.clone(),
        data_centre: member.place.data_centre.0.clone(),
        vm: member.place.vm().to_smolstr(),
        state: state.into(),
        in_flight: u32::from(advertised.load),
        limit: advertised.slots,
        revision: member.revision,
    }
}
