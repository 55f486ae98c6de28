//! Tests of the module `request`.

use super::*;

#[test]
fn each_turn_begins_with_the_one_before() {
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
fn wrong_bodies_say_what_and_where() {
    let wrong = |body: &[u8]| parse(body, false).unwrap_err().message;
    assert_eq!(wrong(b"{\"model\":\xff}"), "the body is not UTF-8 at byte 9");
    assert!(wrong(b"{").contains("line 1 column 1"));
    let no_turns = br#"{"model":"m","max_tokens":5,"messages":[]}"#;
    assert_eq!(wrong(no_turns), "messages: at least one message is required");
    let with = |more: &str| {
        let text = format!(r#"{{"model":"m","messages":[{{"role":"user","content":"a"}}]{more}}}"#);
        parse(text.as_bytes(), false).map(|_| ()).map_err(|wrong| wrong.message)
    };
    assert_eq!(with("").unwrap_err(), "max_tokens: field required");
    assert!(with(",\"max_tokens\":0").unwrap_err().starts_with("max_tokens: 0 is not between"));
    let empty = with(",\"max_tokens\":1,\"stop_sequences\":[\"a\",\"\"]").unwrap_err();
    assert!(empty.starts_with("stop_sequences.1: "), "{empty}");
    assert_eq!(with(",\"max_tokens\":1,\"stop_sequences\":null,\"stream\":null"), Ok(()));
    let image = br#"{"model":"m","max_tokens":1,"messages":[{"role":"user","content":[{"type":"image"}]}]}"#;
    assert!(wrong(image).starts_with("messages.0.content.0.type: 'image'"));
    let deep = format!("{}{}", "[".repeat(500), "]".repeat(500));
    assert!(wrong(deep.as_bytes()).starts_with("body: "));
}
