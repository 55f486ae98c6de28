//! Tests of the module `request`.

use super::*;

#[test]
fn each_prompt_is_a_prefix_of_the_next_turns_prompt() {
    let first = parse(
        br#"{"model":"m","max_tokens":5,"system":[{"type":"text","text":"S"}],
        "messages":[{"role":"user","content":"a"}]}"#,
        false,
    );
    let second = parse(
        br#"{"model":"m","max_tokens":5,"system":"S","messages":[{"role":"user","content":"a"},
        {"role":"assistant","content":" b"},{"role":"user","content":[{"type":"text","text":"c"}]}]}"#,
        false,
    );
    assert_eq!(first.unwrap().prompt(), "S\n\nHuman: a\n\nAssistant:");
    assert!(second.unwrap().prompt().starts_with("S\n\nHuman: a\n\nAssistant:"));
}

#[test]
fn invalid_bodies_are_rejected_with_reason_and_position() {
    let message = |body: &[u8]| parse(body, false).unwrap_err().message;
    assert_eq!(message(b"{\"model\":\xff}"), "the body is not UTF-8 at byte 9");
    assert!(message(b"{").contains("line 1 column 1"));
    let no_turns = br#"{"model":"m","max_tokens":5,"messages":[]}"#;
    assert_eq!(message(no_turns), "messages: at least one message is required");
    let with_fields = |more: &str| {
        let text = format!(r#"{{"model":"m","messages":[{{"role":"user","content":"a"}}]{more}}}"#);
        parse(text.as_bytes(), false).map(|_| ()).map_err(|error| error.message)
    };
    assert_eq!(with_fields("").unwrap_err(), "max_tokens: field required");
    assert!(with_fields(",\"max_tokens\":0").unwrap_err().starts_with("max_tokens: 0 is not between"));
    let empty = with_fields(",\"max_tokens\":1,\"stop_sequences\":[\"a\",\"\"]").unwrap_err();
    assert!(empty.starts_with("stop_sequences.1: "), "{empty}");
    assert_eq!(with_fields(",\"max_tokens\":1,\"stop_sequences\":null,\"stream\":null"), Ok(()));
    let image = br#"{"model":"m","max_tokens":1,"messages":[{"role":"user","content":[{"type":"image"}]}]}"#;
    assert!(message(image).starts_with("messages.0.content.0.type: 'image'"));
    let deep = format!("{}{}", "[".repeat(500), "]".repeat(500));
    assert!(message(deep.as_bytes()).starts_with("body: "));
}
