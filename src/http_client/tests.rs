use super::*;

#[test]
fn no_more_connections_are_kept_than_allowed_and_the_idle_go_first() {
    let mut w = Pools::new(40);
    let often = w.to("10.0.0.1:1");
    for i in 0..500 {
        w.to(&format!("10.0.1.{i}:1"));
        assert!(Rc::ptr_eq(&often, &w.to("10.0.0.1:1")));
        assert!(w.young.len() + w.old.len() <= 40);
    }
}
