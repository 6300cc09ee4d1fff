//! The decision logic of a controller: takes inputs and the time, and returns effects.
//!
//! The core composes the components of a controller, each of which owns its state, and routes
//! every input to the component that handles it. The core must never open a socket, read a
//! clock or block: the driver does all input and output.

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

/// The settings and the policy of a controller, which are fixed while it runs.
struct Configuration {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
}

impl Configuration {
    /// Returns the number of partitions that the machines are divided into.
    fn partition_count(&self) -> u64 {
        self.policy.partition_count(&self.settings)
    }
}

/// The state of a controller and the logic of its decisions.
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
    /// Zone failover; `None` if this subsystem is disabled.
    zones: Option<ZoneFailover>,
}

impl Core {
    /// Creates the core of a controller that has just started and has not read the store.
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

    /// Returns the core with the enabled subsystems attached.
    pub fn with_subsystems(mut self, subsystems: &Subsystems) -> Self {
        let config = subsystems.zone_failover.as_ref();
        self.zones =
            config.map(|config| ZoneFailover::new(config.clone(), &self.configuration.settings));
        self
    }

    /// Handles one input and returns the effects to carry out, in this order. `now` is the
    /// monotonic time, `wall_clock` the wall-clock time.
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
            Input::PeerMessage(message) => self.handle_peer_message(now, message),
            Input::Cancelled { job, revision } => {
                self.handle_own_cancellation(now, job, revision, &mut out);
            }
        }
        out
    }

    /// Handles a message from a peer.
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

    /// Returns the time until which this controller may act for its partitions. An owner must
    /// not act outside its lease, because another controller may own the partition by then.
    fn may_act_until(&self) -> Micros {
        self.membership.may_act_until(self.store.last_read_at())
    }

    /// Returns how many machines the placement passes of all owned partitions have compared
    /// with a class of tasks. This count measures the cost of the passes.
    pub fn machines_compared(&self) -> usize {
        let partitions = self.partitions.values();
        partitions
            .map(|partition| partition.machines_compared())
            .sum()
    }
}
