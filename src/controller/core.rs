//! All decisions of a controller: messages and the time go in, effects come out.
//!
//! It composes the parts of a controller, each with its own state, and passes messages on to
//! them. It must never open a socket, read a clock or block: the driver does that.

mod api_view;
mod autoscaling;
mod cancellations;
mod dependencies;
mod effects;
mod format_level;
mod garbage_collection;
mod gossip;
mod health;
mod heartbeats;
mod in_flight;
mod leader_election;
mod leadership;
mod machine_types;
mod owned_partitions;
mod partition_grants;
mod partition_rebalancing;
mod peers;
mod periodic_checks;
mod store_reader;
mod store_replies;
mod team_usage;
mod zones;

use crate::api::read_index::ReadIndex;
use crate::clock::Micros;
use crate::controller::messages::{Effect, Input};
use crate::mesh::Message;
use crate::partitions::membership::Membership;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::subsystems::Subsystems;
use crate::zones::ZoneFailover;
use api_view::ApiViewPublisher;
use cancellations::PendingCancellations;
use dependencies::DependencyTracker;
use gossip::Gossip;
use in_flight::InFlightRequests;
use leader_election::LeaderElection;
use leadership::LeaderState;
use machine_types::MachineTypeList;
use owned_partitions::OwnedPartitions;
use partition_rebalancing::PartitionRebalancing;
use peers::PeerTable;
use std::rc::Rc;
use store_reader::StoreReader;
use team_usage::TeamUsagePublisher;

/// What a controller is configured with; it does not change while it runs.
struct Configuration {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
}

impl Configuration {
    /// How many partitions the machines are divided into.
    fn partition_count(&self) -> u64 {
        self.policy.partition_count(&self.settings)
    }
}

/// A controller's state and all of its decisions.
pub struct Core {
    configuration: Configuration,
    store: StoreReader,
    membership: Membership,
    election: LeaderElection,
    leader_state: LeaderState,
    machine_types: MachineTypeList,
    partitions: OwnedPartitions,
    rebalancing: PartitionRebalancing,
    peers: PeerTable,
    gossip: Gossip,
    dependencies: DependencyTracker,
    cancellations: PendingCancellations,
    in_flight: InFlightRequests,
    read_index: ReadIndex,
    api_view: ApiViewPublisher,
    team_usage: TeamUsagePublisher,
    /// None: zone failover is off.
    zones: Option<ZoneFailover>,
}

impl Core {
    /// A controller that has just started and knows nothing of the store.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>, now: Micros) -> Self {
        Core {
            store: StoreReader::default(),
            membership: Membership::new(
                settings.label.clone(),
                settings.mesh_addr.to_string(),
                settings.lease(),
                settings.lease_validity(),
            ),
            election: LeaderElection::new(settings.lease()),
            leader_state: LeaderState::new(&settings, &policy),
            machine_types: MachineTypeList::default(),
            partitions: OwnedPartitions::default(),
            rebalancing: PartitionRebalancing::default(),
            peers: PeerTable::new(now),
            gossip: Gossip::default(),
            dependencies: DependencyTracker::default(),
            cancellations: PendingCancellations::default(),
            in_flight: InFlightRequests::default(),
            read_index: ReadIndex::default(),
            api_view: ApiViewPublisher::default(),
            team_usage: TeamUsagePublisher::new(now),
            zones: None,
            configuration: Configuration { settings, policy },
        }
    }

    /// The same with the subsystems that are on.
    pub fn with_subsystems(mut self, subsystems: &Subsystems) -> Self {
        let config = subsystems.zone_failover.as_ref();
        self.zones =
            config.map(|config| ZoneFailover::new(config.clone(), &self.configuration.settings));
        self
    }

    /// Takes one message in and returns what is to be done, in this order. `now` is the
    /// steady clock, `wall_clock` the time of day.
    pub fn handle(&mut self, now: Micros, wall_clock: Micros, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.run_periodic_checks(now, wall_clock, &mut out),
            Input::Loaded(snapshot) => self.load_snapshot(now, snapshot, &mut out),
            Input::Changes(changes) => self.apply_watch_events(now, changes, &mut out),
            Input::StoreReply { operation, reply } => {
                self.handle_store_reply(now, operation, &reply, &mut out);
            }
            Input::Heartbeat {
                heartbeat,
                request_id,
            } => {
                let answer = self.handle_heartbeat(now, wall_clock, &heartbeat);
                out.push(Effect::AnswerHeartbeat { request_id, answer });
            }
            Input::JobLookup { id, request_id } => {
                self.handle_job_lookup(now, id, request_id, &mut out);
            }
            Input::DirectCommandReply {
                partition,
                term,
                machine,
                answer,
            } => self.handle_direct_command_reply(now, partition, term, &machine, answer),
            Input::CloudReply { request, reply } => {
                self.handle_cloud_reply(now, request, reply, &mut out);
            }
            Input::Mesh(message) => self.handle_peer_message(now, message),
            Input::Cancelled { job, revision } => {
                self.handle_own_cancellation(now, job, revision, &mut out);
            }
        }
        out
    }

    /// Takes a peer's message in.
    pub fn handle_peer_message(&mut self, now: Micros, message: Message) {
        match message {
            Message::PeerState(state) => self.peers.record_state(now, state),
            Message::Cancelled { job, revision } => self.handle_cancellation(job, revision),
            Message::ZoneEvidence(evidence) => {
                if let Some(zones) = &mut self.zones {
                    zones.record_evidence(now, evidence);
                }
            }
        }
    }

    /// Until when this controller may act for its partitions. Outside its lease an owner must
    /// not act: another may own the partition.
    fn may_act_until(&self) -> Micros {
        self.membership.may_act_until(self.store.last_read_at())
    }

    /// Machines that were compared with a class of work so far: what passes cost.
    pub fn machines_compared(&self) -> usize {
        let partitions = self.partitions.values();
        partitions
            .map(|partition| partition.machines_compared)
            .sum()
    }
}
