//! Tests of the module `pending_answer`.

use super::*;

impl LostReply for &'static str {
    fn lost() -> Self {
        "lost"
    }
}

#[test]
fn a_dropped_answer_is_replaced_and_counted() {
    let dropped = DroppedAnswers::default();
    let (pending, mut receiver) = PendingAnswer::new(dropped.clone());
    pending.send("here");
    assert_eq!((receiver.try_recv(), dropped.get()), (Ok("here"), 0));
    let (pending, mut receiver) = PendingAnswer::<&'static str>::new(dropped.clone());
    drop(pending);
    assert_eq!((receiver.try_recv(), dropped.get()), (Ok("lost"), 1));
    let (pending, mut receiver) = PendingAnswer::<&'static str>::new(dropped.clone());
    pending.cancel();
    assert!(receiver.try_recv().is_err());
    assert_eq!(dropped.get(), 1);
}
