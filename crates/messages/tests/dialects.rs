//! Encoding of responses and errors in each dialect, and parsing of valid, invalid and arbitrary requests.

use std::rc::Rc;

use paddleproxy_messages::{
    Answer, ApiError, Dialect, Encoder, ErrorKind, EventNames, Stop, StreamItem, Usage,
};
use proptest::prelude::*;

fn encoder(dialect: Dialect, include_usage: bool) -> Encoder {
    Encoder { dialect, id: Rc::from("0.1.2"), model: Rc::from("m"), created: 1_700_000_000, include_usage }
}

fn renaming_dialect() -> Dialect {
    let mut names = EventNames::default();
    names.overrides.insert("content_block_delta", Some("answer.text".into()));
    names.overrides.insert("ping", None);
    Dialect::Messages(Rc::new(names))
}

const USAGE: Usage = Usage { input_tokens: 12, cached_tokens: 8, output_tokens: 2 };

/// All items of a stream with both of its possible ends, a whole answer, and all errors.
fn encode_all(encoder: &Encoder) -> String {
    let stop = Stop::Sequence("\n".into());
    let stream_error = ApiError::new(ErrorKind::Api, "the model server broke off");
    let items = [
        StreamItem::Start(Usage { output_tokens: 0, ..USAGE }),
        StreamItem::Text("He\"llo\n"),
        StreamItem::Ping,
        StreamItem::End(&stop, USAGE),
        StreamItem::Error(&stream_error),
    ];
    let mut text: String = items.iter().map(|item| encoder.encode_item(item)).collect();
    let answer = Answer { text: "Hello".into(), stop: Stop::MaxTokens, usage: USAGE };
    text.push_str(&encoder.encode_answer(&answer));
    for kind in ErrorKind::ALL {
        let error = ApiError::new(kind, "why");
        text.push_str(&format!(
            "\n{} {}",
            encoder.dialect.status(kind),
            encoder.dialect.error(&error, "0.1.2")
        ));
    }
    text
}

#[test]
fn messages_api_encoding() {
    insta::assert_snapshot!(encode_all(&encoder(Dialect::published(), true)));
}

#[test]
fn chat_completions_api_encoding() {
    insta::assert_snapshot!(encode_all(&encoder(Dialect::Chat, true)));
}

#[test]
fn a_dialect_renames_and_omits_events() {
    let text = encode_all(&encoder(renaming_dialect(), true));
    assert!(
        text.contains("event: answer.text\ndata: {\"delta\"") && text.contains("\"type\":\"answer.text\"")
    );
    assert!(!text.contains("ping") && !text.contains("content_block_delta"));
    assert!(text.contains("event: message_stop\n"));
}

#[test]
fn a_chat_stream_includes_usage_only_on_request() {
    assert!(!encode_all(&encoder(Dialect::Chat, false)).split("[DONE]").next().unwrap().contains("usage"));
}

#[test]
fn equivalent_requests_of_both_apis_parse_alike() {
    let messages = br#"{"model":"m","max_tokens":7,"system":"S","stop_sequences":["x"],"stream":true,
        "metadata":{"user_id":"u"},"messages":[{"role":"user","content":"a"}]}"#;
    let chat = br#"{"model":"m","max_completion_tokens":7,"stop":"x","stream":true,"user":"u",
        "stream_options":{"include_usage":true},
        "messages":[{"role":"developer","content":"S"},
        {"role":"user","content":[{"type":"text","text":"a"}]}]}"#;
    assert_eq!(Dialect::published().parse(messages), Dialect::Chat.parse(chat));
}

#[test]
fn invalid_chat_requests_are_rejected_with_the_reason() {
    let message = |body: &str| Dialect::Chat.parse(body.as_bytes()).unwrap_err().message;
    assert!(message(r#"{"model":"m","messages":[]}"#).contains("at least one message"));
    assert!(message(r#"{"model":"m","messages":[{"role":"user"}]}"#).starts_with("messages.0.content"));
    assert!(message(r#"{"model":"m","n":2,"messages":[{"role":"user","content":"a"}]}"#).starts_with("n: "));
    assert!(
        message(r#"{"model":"m","messages":[{"role":"tool","content":"a"}]}"#).contains("unknown variant")
    );
    let negative = r#"{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}"#;
    assert!(message(negative).starts_with("max_tokens: -1"));
}

/// Nearly valid bodies, made of the tokens of a request in any order, and arbitrary bytes.
fn arbitrary_bodies() -> impl Strategy<Value = Vec<u8>> {
    let parts = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"model\"",
        "\"messages\"",
        "\"role\"",
        "\"user\"",
        "\"content\"",
        "\"max_tokens\"",
        "\"stop\"",
        "\"system\"",
        "\"type\"",
        "\"text\"",
        "\"a\"",
        "1",
        "-1",
        "1e99",
        "null",
        "true",
        "\"\\ud800\"",
    ]);
    let nearly_valid = prop::collection::vec(parts, 0..40).prop_map(|parts| parts.concat().into_bytes());
    prop_oneof![nearly_valid, prop::collection::vec(any::<u8>(), 0..200)]
}

proptest! {
    #[test]
    fn no_request_body_panics(body in arbitrary_bodies()) {
        for dialect in [Dialect::published(), Dialect::Chat] {
            if let Ok(request) = dialect.parse(&body) {
                prop_assert!(!request.turns.is_empty() && request.max_tokens > 0);
                let _ = request.prompt();
            }
            let _ = dialect.parse_to_count(&body);
        }
    }

    #[test]
    fn every_text_is_decoded_from_its_event(text in ".*") {
        for dialect in [Dialect::published(), Dialect::Chat, renaming_dialect()] {
            let events = encoder(dialect, true).encode_item(&StreamItem::Text(&text));
            let data = events.split("data: ").nth(1).unwrap();
            prop_assert!(events.ends_with("\n\n") && data.trim_end().lines().count() == 1);
            let json: serde_json::Value = serde_json::from_str(data).unwrap();
            let decoded = json["delta"]["text"].as_str().or(json["choices"][0]["delta"]["content"].as_str());
            prop_assert_eq!(decoded, Some(text.as_str()));
        }
    }
}
