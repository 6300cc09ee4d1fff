//! Connection pools for a bounded number of addresses.
//!
//! This module decides which addresses keep a pool, and drops the pools of addresses that are
//! no longer used. A connection with a request in flight is never closed.

use super::ConnectionPool;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of connections per address: one for a command, and one for a second command
/// while the first has no response.
const CONNECTIONS_PER_ADDRESS: usize = 2;

/// Connection pools by address, so that a direct command does not need a new connection.
///
/// There are two generations of pools. A pool moves to the young generation when it is used. Once
/// the young generation holds half of the allowed addresses, it becomes the old generation. The
/// pools of the previous old generation are dropped: they were not used during that time.
pub struct ConnectionPools {
    max_addresses: usize,
    young: BTreeMap<String, Rc<ConnectionPool>>,
    old: BTreeMap<String, Rc<ConnectionPool>>,
}

impl ConnectionPools {
    /// Creates an empty set of pools for at most `max_addresses` addresses.
    pub fn new(max_addresses: usize) -> Self {
        ConnectionPools {
            max_addresses,
            young: BTreeMap::new(),
            old: BTreeMap::new(),
        }
    }

    /// Returns the pool of an address, creating it if there is none.
    pub fn for_address(&mut self, addr: &str) -> Rc<ConnectionPool> {
        if let Some(pool) = self.young.get(addr) {
            return pool.clone();
        }
        if self.young.len() >= self.max_addresses / 2 {
            // Without this bound, a socket would be kept for each of thousands of machines. The
            // idle connections of the dropped pools are closed. Requests in flight hold their
            // pool until they complete.
            self.old = std::mem::take(&mut self.young);
        }
        let pool = self.old.remove(addr).unwrap_or_else(|| {
            Rc::new(ConnectionPool::new(
                addr.to_owned(),
                CONNECTIONS_PER_ADDRESS,
            ))
        });
        self.young.insert(addr.to_owned(), pool.clone());
        pool
    }
}

#[cfg(test)]
mod tests;
