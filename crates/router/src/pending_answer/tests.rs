//! Tests of the module `duty`.

use super::*;

impl LostReply for &'static str {
    fn lost() -> Self {
        "lost"
    }
}

#[test]
fn a_forgotten_answer_is_given_and_counted() {
    let dropped = DroppedAnswers::default();
    let (duty, mut waits) = PendingAnswer::new(dropped.clone());
    duty.send("here");
    assert_eq!((waits.try_recv(), dropped.get()), (Ok("here"), 0));
    let (duty, mut waits) = PendingAnswer::<&'static str>::new(dropped.clone());
    drop(duty);
    assert_eq!((waits.try_recv(), dropped.get()), (Ok("lost"), 1));
    let (duty, mut waits) = PendingAnswer::<&'static str>::new(dropped.clone());
    duty.cancel();
    assert!(waits.try_recv().is_err());
    assert_eq!(dropped.get(), 1);
}
