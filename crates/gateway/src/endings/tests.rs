//! Endings are counted by kind, whatever is logged.

use super::*;

#[test]
fn endings_are_counted_by_kind() {
    let endings = Endings::default();
    let request = OpenRequest::new("a1".into(), 7, 1);
    request.passed_on();
    endings.request(&request, RequestEnd::Served);
    endings.stopping(Instant::now());
    endings.request(&request, RequestEnd::RefusedStopping);
    endings.request(&request, RequestEnd::RefusedStopping);
    endings.refused_unread(408);
    endings.connection(7, 2, ConnectionEnd::RestedAtStop);
    let figures = endings.figures();
    for counted in ["Served: 1", "RefusedStopping: 2", "Refused(408): 1", "RestedAtStop: 1"] {
        assert!(figures.contains(counted), "{figures}");
    }
}
