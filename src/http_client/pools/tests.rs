//! Guards against a socket kept for each of thousands of machines, and against dropping the pool of
//! an address that is in use.

use super::ConnectionPools;
use std::rc::Rc;

#[test]
fn pools_stay_within_the_address_limit_and_unused_addresses_are_dropped_first() {
    let mut pools = ConnectionPools::new(40);
    let frequent = pools.for_address("10.0.0.1:1");
    for machine in 0..500 {
        pools.for_address(&format!("10.0.1.{machine}:1"));
        assert!(Rc::ptr_eq(&frequent, &pools.for_address("10.0.0.1:1")));
        assert!(pools.young.len() + pools.old.len() <= 40);
    }
}
