//! Pools of kept connections to many addresses, bounded in number.
//!
//! It owns which addresses keep a pool. It never closes a connection with a request on it.

use super::ConnectionPool;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Connections to one of many addresses: a command, and one more while it has no response.
const CONNECTIONS_PER_ADDRESS: usize = 2;

/// Kept connections to many addresses, so that a direct command costs no new one. In two
/// generations: an address that was not used since the younger one began goes first.
pub struct ConnectionPools {
    max_addresses: usize,
    young: BTreeMap<String, Rc<ConnectionPool>>,
    old: BTreeMap<String, Rc<ConnectionPool>>,
}

impl ConnectionPools {
    /// Pools for at most `max_addresses` addresses.
    pub fn new(max_addresses: usize) -> Self {
        ConnectionPools {
            max_addresses,
            young: BTreeMap::new(),
            old: BTreeMap::new(),
        }
    }

    /// The pool of an address.
    pub fn for_address(&mut self, addr: &str) -> Rc<ConnectionPool> {
        if let Some(pool) = self.young.get(addr) {
            return pool.clone();
        }
        if self.young.len() >= self.max_addresses / 2 {
            // Guards against a socket kept for each of thousands of machines. Open
            // requests go on; what is idle is closed.
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
