//! Encoding of datagrams as packed Cap'n Proto messages.

use {
    super::{
        member::{AdvertisedWorker, Generation, Member, MemberState, Status},
        message::{Body, Digest, MalformedDatagram, Message},
        summary::{Heartbeat, Summary, SummaryWorker},
    },
    crate::{
        config::Revision,
        fleet_capnp as wire,
        place::{DataCentre, Place, Region},
        request::{Incarnation, Level},
    },
    capnp::{
        message::{Builder, ReaderOptions},
        serialize_packed, text,
    },
    smol_str::SmolStr,
    std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
};

/// Maximum size of an unpacked datagram in words of eight bytes, against decompression bombs.
const MAX_UNPACKED_WORDS: usize = 16 * 1024;

impl Message {
    /// Encodes the message; returns no bytes if that fails.
    pub fn encode(&self) -> Vec<u8> {
        let mut builder = Builder::new_default();
        self.write(builder.init_root());
        let mut bytes = Vec::new();
        match serialize_packed::write_message(&mut bytes, &builder) {
            Ok(()) => bytes,
            Err(_) => Vec::new(),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails on a malformed datagram and on one that unpacks to too many words.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, MalformedDatagram> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_UNPACKED_WORDS));
        options.nesting_limit(8);
        let reader = serialize_packed::read_message(&mut bytes, options)?;
        Self::read(reader.get_root()?)
    }

    fn write(&self, mut to: wire::datagram::Builder<'_>) {
        write_addr(self.from, to.reborrow().init_from());
        to.set_generation(self.generation.0);
        to.set_data_centre(self.data_centre.0.as_str());
        to.set_region(self.region.0.as_str());
        self.body.write(to.reborrow().init_body());
        let mut members = to.reborrow().init_members(self.members.len() as u32);
        for (index, member) in (0..).zip(&self.members) {
            write_member(member, members.reborrow().get(index));
        }
        let mut states = to.reborrow().init_lights(self.states.len() as u32);
        for (index, state) in (0..).zip(&self.states) {
            write_state(state, states.reborrow().get(index));
        }
        let mut heartbeats = to.reborrow().init_beats(self.heartbeats.len() as u32);
        for (index, heartbeat) in (0..).zip(&self.heartbeats) {
            write_heartbeat(heartbeat, heartbeats.reborrow().get(index));
        }
        let mut summaries = to.reborrow().init_summaries(self.summaries.len() as u32);
        for (index, summary) in (0..).zip(&self.summaries) {
            write_summary(summary, summaries.reborrow().get(index));
        }
        to.set_repair(self.is_repair);
        let mut requested_keys = to.init_wants(self.requested_keys.len() as u32);
        for (index, key) in (0..).zip(&self.requested_keys) {
            requested_keys.set(index, *key);
        }
    }

    fn read(from: wire::datagram::Reader<'_>) -> Result<Self, MalformedDatagram> {
        Ok(Self {
            from: read_addr(from.get_from()?)?,
            generation: Generation(from.get_generation()),
            data_centre: DataCentre(read_text(from.get_data_centre()?)?),
            region: Region(read_text(from.get_region()?)?),
            body: Body::read(from.get_body())?,
            members: collect(from.get_members()?.iter(), read_member)?,
            states: collect(from.get_lights()?.iter(), read_state)?,
            heartbeats: collect(from.get_beats()?.iter(), read_heartbeat)?,
            summaries: collect(from.get_summaries()?.iter(), read_summary)?,
            requested_keys: from.get_wants()?.iter().collect(),
            is_repair: from.get_repair(),
        })
    }
}

impl Body {
    fn write(&self, mut to: wire::datagram::body::Builder<'_>) {
        match self {
            Self::Gossip => to.set_news(()),
            Self::Ping { sequence } => to.init_ping().set_sequence(*sequence),
            Self::Ack { sequence, origin } => {
                let mut ack = to.init_ack();
                ack.set_sequence(*sequence);
                ack.set_origin(origin.0);
            }
            Self::Relay { sequence, target } => {
                let mut relay = to.init_relay();
                relay.set_sequence(*sequence);
                write_addr(*target, relay.init_target());
            }
            Self::Digest(digest) => {
                let mut written = to.init_digest();
                written.set_bits(digest.bits);
                written.set_part(digest.part);
                let mut entries = written.init_entries(digest.entries.len() as u32);
                for (index, (key, precedence)) in (0..).zip(&digest.entries) {
                    let mut entry = entries.reborrow().get(index);
                    entry.set_key(*key);
                    entry.set_order(*precedence);
                }
            }
        }
    }

    fn read(from: wire::datagram::body::Reader<'_>) -> Result<Self, MalformedDatagram> {
        use wire::datagram::body::Which;
        let which = from
            .which()
            .map_err(|_| MalformedDatagram::new("unknown body"))?;
        Ok(match which {
            Which::News(()) => Self::Gossip,
            Which::Ping(ping) => Self::Ping {
                sequence: ping?.get_sequence(),
            },
            Which::Ack(ack) => {
                let ack = ack?;
                Self::Ack {
                    sequence: ack.get_sequence(),
                    origin: Generation(ack.get_origin()),
                }
            }
            Which::Relay(relay) => {
                let relay = relay?;
                Self::Relay {
                    sequence: relay.get_sequence(),
                    target: read_addr(relay.get_target()?)?,
                }
            }
            Which::Digest(digest) => {
                let digest = digest?;
                Self::Digest(Digest {
                    bits: digest.get_bits(),
                    part: digest.get_part(),
                    entries: digest
                        .get_entries()?
                        .iter()
                        .map(|entry| (entry.get_key(), entry.get_order()))
                        .collect(),
                })
            }
        })
    }
}

fn collect<R, T>(
    items: impl Iterator<Item = R>,
    read: impl Fn(R) -> Result<T, MalformedDatagram>,
) -> Result<Vec<T>, MalformedDatagram> {
    items.map(read).collect()
}

fn write_addr(addr: SocketAddr, mut to: wire::address::Builder<'_>) {
    match addr.ip() {
        IpAddr::V4(ip) => to.set_ip(&ip.octets()),
        IpAddr::V6(ip) => to.set_ip(&ip.octets()),
    }
    to.set_port(addr.port());
}

fn read_addr(from: wire::address::Reader<'_>) -> Result<SocketAddr, MalformedDatagram> {
    let bytes = from.get_ip()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; 16]>::try_from(bytes) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(MalformedDatagram::new(
            "IP address is neither 4 nor 16 bytes long",
        ));
    };
    Ok(SocketAddr::new(ip, from.get_port()))
}

fn read_text(text: text::Reader<'_>) -> Result<SmolStr, MalformedDatagram> {
    text.to_str()
        .map(SmolStr::new)
        .map_err(|_| MalformedDatagram::new("text is not UTF-8"))
}

fn write_place(place: &Place, mut to: wire::place::Builder<'_>) {
    to.set_name(place.name.as_str());
    to.set_region(place.region.0.as_str());
    to.set_data_centre(place.data_centre.0.as_str());
    write_addr(place.call_addr, to.reborrow().init_call());
    write_addr(place.gossip_addr, to.init_gossip());
}

fn read_place(from: wire::place::Reader<'_>) -> Result<Place, MalformedDatagram> {
    Ok(Place {
        name: read_text(from.get_name()?)?,
        region: Region(read_text(from.get_region()?)?),
        data_centre: DataCentre(read_text(from.get_data_centre()?)?),
        call_addr: read_addr(from.get_call()?)?,
        gossip_addr: read_addr(from.get_gossip()?)?,
    })
}

fn write_state(state: &MemberState, mut to: wire::light::Builder<'_>) {
    to.set_generation(state.generation.0);
    to.set_version(state.version);
    to.set_body_version(state.body_version);
    to.set_status(match state.status {
        Status::Alive => wire::Status::Alive,
        Status::Suspect => wire::Status::Suspect,
        Status::Dead => wire::Status::Dead,
        Status::Left => wire::Status::Left,
    });
    to.set_draining(state.draining);
    to.set_load(state.load);
    to.set_level(state.level.0);
    to.set_revision(state.revision.0);
}

fn read_state(from: wire::light::Reader<'_>) -> Result<MemberState, MalformedDatagram> {
    let status = from
        .get_status()
        .map_err(|_| MalformedDatagram::new("unknown status"))?;
    Ok(MemberState {
        generation: Generation(from.get_generation()),
        version: from.get_version(),
        body_version: from.get_body_version(),
        status: match status {
            wire::Status::Alive => Status::Alive,
            wire::Status::Suspect => Status::Suspect,
            wire::Status::Dead => Status::Dead,
            wire::Status::Left => Status::Left,
        },
        draining: from.get_draining(),
        load: from.get_load(),
        level: Level(from.get_level()),
        revision: Revision(from.get_revision()),
    })
}

fn write_member(member: &Member, mut to: wire::member::Builder<'_>) {
    write_state(&member.state(), to.reborrow().init_light());
    write_place(&member.place, to.reborrow().init_place());
    if let Some(worker) = &member.worker {
        to.set_has_worker(true);
        to.set_incarnation(worker.incarnation.0);
        to.set_service(worker.service.as_str());
        to.set_slots(worker.slots);
    }
    to.set_suspects(&member.suspects);
}

fn read_member(from: wire::member::Reader<'_>) -> Result<Member, MalformedDatagram> {
    let state = read_state(from.get_light()?)?;
    let service = read_text(from.get_service()?)?;
    let worker = from.get_has_worker().then(|| AdvertisedWorker {
        incarnation: Incarnation(from.get_incarnation()),
        service,
        slots: from.get_slots(),
        load: state.load,
        level: state.level,
        draining: state.draining,
    });
    Ok(Member {
        place: read_place(from.get_place()?)?,
        generation: state.generation,
        version: state.version,
        body_version: state.body_version,
        status: state.status,
        worker,
        revision: state.revision,
        suspects: from.get_suspects()?.to_vec(),
    })
}

fn write_heartbeat(heartbeat: &Heartbeat, mut to: wire::beat::Builder<'_>) {
    to.set_region(heartbeat.region.0.as_str());
    to.set_data_centre(heartbeat.data_centre.0.as_str());
    write_addr(heartbeat.contact, to.reborrow().init_contact());
    to.set_beat(heartbeat.sequence);
    to.set_revision_min(heartbeat.revision_min.0);
    to.set_revision_max(heartbeat.revision_max.0);
    let mut lagging = to.init_lagging(heartbeat.lagging.len() as u32);
    for (index, name) in (0..).zip(&heartbeat.lagging) {
        lagging.set(index, name.as_str());
    }
}

fn read_heartbeat(from: wire::beat::Reader<'_>) -> Result<Heartbeat, MalformedDatagram> {
    Ok(Heartbeat {
        region: Region(read_text(from.get_region()?)?),
        data_centre: DataCentre(read_text(from.get_data_centre()?)?),
        contact: read_addr(from.get_contact()?)?,
        sequence: from.get_beat(),
        revision_min: Revision(from.get_revision_min()),
        revision_max: Revision(from.get_revision_max()),
        lagging: collect(from.get_lagging()?.iter(), |name| read_text(name?))?,
    })
}

fn write_summary(summary: &Summary, mut to: wire::summary::Builder<'_>) {
    to.set_data_centre(summary.data_centre.0.as_str());
    to.set_service(summary.service.as_str());
    to.set_version(summary.version);
    to.set_slots(summary.slots);
    to.set_load(summary.load);
    to.set_level(summary.level.0);
    let mut workers = to.init_workers(summary.workers.len() as u32);
    for (index, worker) in (0..).zip(&summary.workers) {
        let mut written = workers.reborrow().get(index);
        write_place(&worker.place, written.reborrow().init_place());
        written.set_incarnation(worker.incarnation.0);
        written.set_slots(worker.slots);
    }
}

fn read_summary(from: wire::summary::Reader<'_>) -> Result<Summary, MalformedDatagram> {
    Ok(Summary {
        data_centre: DataCentre(read_text(from.get_data_centre()?)?),
        service: read_text(from.get_service()?)?,
        version: from.get_version(),
        slots: from.get_slots(),
        load: from.get_load(),
        level: Level(from.get_level()),
        workers: collect(from.get_workers()?.iter(), read_worker)?,
    })
}

fn read_worker(
    from: wire::summary::worker::Reader<'_>,
) -> Result<SummaryWorker, MalformedDatagram> {
    Ok(SummaryWorker {
        place: read_place(from.get_place()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        slots: from.get_slots(),
    })
}
