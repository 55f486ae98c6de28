//! Tests of the module `duty`.

use super::*;

impl Answers for &'static str {
    fn lost() -> Self {
        "lost"
    }
}

#[test]
fn a_forgotten_answer_is_given_and_counted() {
    let dropped = Dropped::default();
    let (duty, mut waits) = Duty::new(dropped.clone());
    duty.give("here");
    assert_eq!((waits.try_recv(), dropped.get()), (Ok("here"), 0));
    let (duty, mut waits) = Duty::<&'static str>::new(dropped.clone());
    drop(duty);
    assert_eq!((waits.try_recv(), dropped.get()), (Ok("lost"), 1));
    let (duty, mut waits) = Duty::<&'static str>::new(dropped.clone());
    duty.void();
    assert!(waits.try_recv().is_err());
    assert_eq!(dropped.get(), 1);
}
