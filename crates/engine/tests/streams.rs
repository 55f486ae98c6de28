//! The parser of event streams yields the same events however the bytes are split, and no input makes it
//! panic or buffer more than its limit. Also parsing of load reports.

use paddleproxy_engine::{Completion, Load, Refusal, SseData, SseReader};
use proptest::prelude::*;

fn read_events(bytes: &[u8], cuts: &[usize], max_bytes: usize) -> Result<Vec<SseData>, String> {
    let mut reader = SseReader::new(max_bytes);
    let mut events = Vec::new();
    let mut pushed = 0;
    for cut in cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([bytes.len()]) {
        if cut > pushed {
            reader.push(&bytes[pushed..cut]);
            pushed = cut;
        }
        while let Some(data) = reader.next_event()? {
            events.push(data);
        }
    }
    Ok(events)
}

proptest! {
    #[test]
    fn events_are_read_alike_at_any_split(
        texts in prop::collection::vec("[a-z\"\\\\ü]{0,20}", 0..10),
        mut cuts in prop::collection::vec(any::<usize>(), 0..20),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n\r\n" } else { "\n\n" };
        let mut bytes = String::new();
        for text in &texts {
            bytes.push_str(&format!("event: x\ndata: {}{end}", serde_json::to_string(text).unwrap()));
        }
        bytes.push_str(&format!("data: [DONE]{end}"));
        let length = bytes.len() + 1;
        cuts.iter_mut().for_each(|cut| *cut %= length);
        cuts.sort_unstable();
        let mut expected: Vec<_> =
            texts.iter().map(|text| SseData::Json(serde_json::to_string(text).unwrap())).collect();
        expected.push(SseData::Done);
        prop_assert_eq!(read_events(bytes.as_bytes(), &cuts, 4096).unwrap(), expected);
    }

    #[test]
    fn no_bytes_panic_or_exceed_the_limit(
        bytes in prop::collection::vec(any::<u8>(), 0..600),
        cuts in prop::collection::vec(0usize..600, 0..8),
    ) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        for data in read_events(&bytes, &cuts, 64).unwrap_or_default() {
            if let SseData::Json(json) = data {
                prop_assert!(json.len() <= 64);
                let _ = serde_json::from_str::<Completion>(&json);
            }
        }
        let _ = Refusal::of(503, &bytes);
        let _ = std::str::from_utf8(&bytes).map(Load::from_header);
    }
}

#[test]
fn orca_load_reports_are_parsed_and_invalid_ones_rejected() {
    let load =
        Load::from_header(r#"JSON {"cpu_utilization":0.3,"mem_utilization":0.5,"named_metrics":{"x":2}}"#);
    assert_eq!(load.as_ref().and_then(|load| load.metric("x")), Some(2.0));
    assert_eq!(load.and_then(|load| load.mem_utilization), Some(0.5));
    for invalid in
        ["", "TEXT a=1", "JSON {", r#"JSON {"mem_utilization":-1}"#, r#"JSON {"named_metrics":{"x":1e999}}"#]
    {
        assert_eq!(Load::from_header(invalid), None, "{invalid}");
    }
}
