//! Requests and connections are counted by how they ended, whatever the log level is.

use super::*;

#[test]
fn endings_are_counted_by_kind() {
    let endings = Endings::default();
    let request = OpenRequest::new("a1".into(), 7, 1);
    request.part_forwarded();
    endings.request(&request, RequestEnd::Served);
    endings.shutdown_began(Instant::now());
    endings.request(&request, RequestEnd::RefusedShutdown);
    endings.request(&request, RequestEnd::RefusedShutdown);
    endings.rejected_unread(408);
    endings.connection(7, 2, ConnectionEnd::IdleAtShutdown);
    let summary = endings.summary();
    for counted in ["Served: 1", "RefusedShutdown: 2", "Refused(408): 1", "IdleAtShutdown: 1"] {
        assert!(summary.contains(counted), "{summary}");
    }
}
