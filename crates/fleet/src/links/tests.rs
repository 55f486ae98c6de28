//! Tests of the module `links`.

use super::*;

#[tokio::test(start_paused = true)]
async fn transfers_share_a_link_and_leave_it_when_dropped() {
    let links = Links::new(Record::clock_only(), 1000.0, 100.0);
    let begun = tokio::time::Instant::now();
    tokio::join!(links.transfer(0, true, 100.0), links.transfer(0, true, 100.0));
    assert_eq!((begun.elapsed().as_secs_f64() * 100.0).round(), 20.0);
    let cancelled = tokio::time::timeout(std::time::Duration::from_millis(10), links.transfer(0, true, 1e9));
    assert!(cancelled.await.is_err());
    let begun = tokio::time::Instant::now();
    links.transfer(0, true, 100.0).await;
    assert_eq!((begun.elapsed().as_secs_f64() * 100.0).round(), 10.0);
}
