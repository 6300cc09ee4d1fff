//! An in-memory simulation of the consensus-backed key-value store: compare-and-swap
//! transactions, leases and the watch log.
//!
//! This module owns all keys and leases. It panics at a transaction that exceeds the store's
//! documented limits.

use crate::clock::Micros;
use crate::ids::{LeaseId, Revision};
use crate::store::{self, Compare, KeyValue, Mutation, Reply, Request, WatchEvent};
use serde_json::Value;
use std::collections::BTreeMap;

/// Ratio of the maximum number of compares to the maximum number of mutations of a transaction.
const COMPARES_PER_MUTATION: usize = 4;
/// Exclusive upper bound of the total size of a transaction's values, in bytes.
const MAX_TRANSACTION_BYTES: usize = 60 * 1024;

/// Size limits of the key-value store.
pub struct StoreLimits {
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of mutations of a transaction.
    pub transaction_mutations: usize,
}

impl Default for StoreLimits {
    /// Returns the limits that the test settings declare: values of 16 KiB and 16 mutations.
    fn default() -> Self {
        StoreLimits {
            value_bytes: 16 * 1024,
            transaction_mutations: 16,
        }
    }
}

/// A stored value with its revision and its lease.
pub struct StoredValue {
    /// Revision of the last write of the key.
    pub revision: u64,
    /// Value as JSON.
    pub value: Value,
    /// Lease on whose expiry the key is deleted. `None`: the key does not expire.
    pub lease_id: Option<u64>,
}

/// A lease of the store.
pub struct StoreLease {
    /// Time to live after each renewal.
    pub ttl: Micros,
    /// Time at which the lease expires unless it is renewed.
    pub expires_at: Micros,
}

/// An in-memory key-value store that behaves as the store's protocol specifies.
#[derive(Default)]
pub struct SimulatedKvStore {
    /// Limits that each transaction is checked against.
    pub limits: StoreLimits,
    /// Revision of the last commit.
    pub revision: u64,
    /// All keys with their values.
    pub keys: BTreeMap<String, StoredValue>,
    /// Leases that have neither expired nor been revoked.
    pub leases: BTreeMap<u64, StoreLease>,
    /// All changes since the start, ordered by revision.
    pub watch_log: Vec<WatchEvent>,
    last_lease: u64,
    /// Whether the store rejects all requests of all clients.
    pub is_down: bool,
    /// Number of mutations requested so far, including those of conflicting transactions.
    pub mutation_count: usize,
}

impl SimulatedKvStore {
    /// Revokes the leases whose time to live has passed.
    pub fn expire_leases(&mut self, now: Micros) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Grants a new lease and returns its identifier.
    pub fn grant_lease(&mut self, now: Micros, ttl: Micros) -> LeaseId {
        self.last_lease += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.last_lease, StoreLease { ttl, expires_at });
        LeaseId(self.last_lease)
    }

    /// Revokes a lease and deletes the keys that are bound to it.
    pub fn revoke_lease(&mut self, id: u64) -> Reply {
        if self.leases.remove(&id).is_none() {
            return Reply::LeaseExpired;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease_id == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        self.commit(keys.into_iter().map(Mutation::delete).collect());
        Reply::Acknowledged
    }

    /// Commits mutations under a new revision, without any check.
    pub fn commit(&mut self, mutations: Vec<Mutation>) -> Reply {
        self.revision += 1;
        for mutation in mutations {
            self.apply(mutation);
        }
        Reply::Committed(Revision(self.revision))
    }

    fn apply(&mut self, mutation: Mutation) {
        match mutation {
            Mutation::Set {
                key,
                value,
                lease_id,
            } => {
                self.watch_log.push(WatchEvent {
                    set: Some(key.clone()),
                    delete: None,
                    value: value.clone(),
                    revision: Revision(self.revision),
                });
                let stored = StoredValue {
                    revision: self.revision,
                    value,
                    lease_id: lease_id.map(|lease| lease.0),
                };
                self.keys.insert(key, stored);
            }
            Mutation::Delete { key } => {
                if self.keys.remove(&key).is_some() {
                    self.watch_log.push(WatchEvent {
                        set: None,
                        delete: Some(key),
                        value: Value::Null,
                        revision: Revision(self.revision),
                    });
                }
            }
        }
    }

    /// Panics if a transaction exceeds the limits, because the real store treats such a
    /// transaction as malformed.
    fn check_limits(&mut self, compares: &[Compare], mutations: &[Mutation]) {
        let max_mutations = self.limits.transaction_mutations;
        assert!(
            mutations.len() <= max_mutations
                && compares.len() <= COMPARES_PER_MUTATION * max_mutations,
            "{} mutations and {} compares in a transaction, the limit is {max_mutations} mutations",
            mutations.len(),
            compares.len()
        );
        let mut bytes = 0;
        for mutation in mutations {
            if let Mutation::Set { key, value, .. } = mutation {
                let length = value.to_string().len();
                assert!(
                    length <= self.limits.value_bytes,
                    "value of {key} has {length} bytes, the limit is {}",
                    self.limits.value_bytes
                );
                bytes += length;
            }
        }
        assert!(
            bytes < MAX_TRANSACTION_BYTES,
            "values of a transaction have {bytes} bytes, the limit is {MAX_TRANSACTION_BYTES}"
        );
        self.mutation_count += mutations.len();
    }

    /// Commits the mutations if every compared key has the expected revision. A key that does not
    /// exist has revision 0.
    pub fn compare_and_swap(&mut self, compares: &[Compare], mutations: Vec<Mutation>) -> Reply {
        self.check_limits(compares, &mutations);
        let revision = |key: &str| self.keys.get(key).map_or(0, |stored| stored.revision);
        let conflicts: Vec<String> = compares
            .iter()
            .filter(|compare| revision(&compare.key) != compare.revision.0)
            .map(|compare| compare.key.clone())
            .collect();
        let names_expired_lease = mutations.iter().any(|mutation| match mutation {
            Mutation::Set {
                lease_id: Some(lease),
                ..
            } => !self.leases.contains_key(&lease.0),
            _ => false,
        });
        if names_expired_lease {
            return Reply::LeaseExpired;
        }
        if conflicts.is_empty() {
            self.commit(mutations)
        } else {
            Reply::Conflict(conflicts)
        }
    }

    /// Handles a client's request and returns the reply.
    pub fn handle_request(&mut self, now: Micros, request: Request) -> Reply {
        if self.is_down {
            return Reply::Rejected;
        }
        self.expire_leases(now);
        match request {
            Request::Get { key } => self.get(key),
            Request::CompareAndSwap {
                compares,
                mutations,
            } => self.compare_and_swap(&compares, mutations),
            Request::GrantLease { ttl } => Reply::LeaseGranted(self.grant_lease(now, ttl)),
            Request::RenewLease { lease_id } => match self.leases.get_mut(&lease_id.0) {
                Some(lease) => {
                    lease.expires_at = now + lease.ttl;
                    Reply::Acknowledged
                }
                None => Reply::LeaseExpired,
            },
            Request::RevokeLease { lease_id } => self.revoke_lease(lease_id.0),
            Request::List { .. } => Reply::Rejected,
        }
    }

    fn get(&self, key: String) -> Reply {
        match self.keys.get(&key) {
            Some(stored) => Reply::Value(KeyValue {
                key,
                value: stored.value.clone(),
                revision: Revision(stored.revision),
            }),
            None => Reply::NotFound,
        }
    }

    /// Returns all entries that a controller lists when it starts.
    pub fn entries(&self) -> Vec<KeyValue> {
        self.keys
            .iter()
            .filter(|(key, _)| key.starts_with(store::ROOT))
            .map(|(key, stored)| KeyValue {
                key: key.clone(),
                value: stored.value.clone(),
                revision: Revision(stored.revision),
            })
            .collect()
    }

    /// Returns the changes after a revision.
    pub fn events_after(&self, revision: u64) -> &[WatchEvent] {
        let first = self
            .watch_log
            .partition_point(|event| event.revision.0 <= revision);
        &self.watch_log[first..]
    }

    /// Returns the value of a key. Panics if the key does not exist.
    pub fn value(&self, key: &str) -> &Value {
        &self.keys[key].value
    }

    /// Returns how many times a key has been set.
    pub fn write_count(&self, key: &str) -> usize {
        self.watch_log
            .iter()
            .filter(|event| event.set.as_deref() == Some(key))
            .count()
    }

    /// Iterates over the shards of machine records of all partitions, by key.
    pub fn machine_shards(&self) -> impl Iterator<Item = (&String, &Value)> {
        self.keys
            .iter()
            .filter(|(key, _)| key.contains("/machines/"))
            .map(|(key, stored)| (key, &stored.value))
    }
}
