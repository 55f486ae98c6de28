//! Parses request bodies of both APIs: no input panics, and every outcome can be encoded as a JSON response.
#![no_main]

use std::rc::Rc;

use libfuzzer_sys::fuzz_target;
use paddleproxy_messages::{Answer, Dialect, Encoder, Stop, Usage};

fuzz_target!(|data: &[u8]| {
    for dialect in [Dialect::published(), Dialect::Chat] {
        match dialect.parse(data) {
            Ok(request) => {
                let prompt = request.prompt();
                assert!(prompt.len() >= request.turns.iter().map(|turn| turn.text.len()).sum());
                let encoder = Encoder {
                    dialect: dialect.clone(),
                    id: Rc::from("0.1.2"),
                    model: request.model.clone().into(),
                    created: 0,
                    include_usage: true,
                };
                let usage = Usage { input_tokens: 1, cached_tokens: 0, output_tokens: 1 };
                let answer = Answer { text: prompt, stop: Stop::MaxTokens, usage };
                let body = encoder.encode_answer(&answer);
                assert!(serde_json::from_str::<serde_json::Value>(&body).is_ok());
            }
            Err(error) => {
                let body = dialect.error(&error, "0.1.2");
                assert!(serde_json::from_str::<serde_json::Value>(&body).is_ok());
            }
        }
    }
    // Every valid request is also valid for counting its tokens.
    let messages = Dialect::published();
    if messages.parse(data).is_ok() {
        assert!(messages.parse_to_count(data).is_ok());
    }
});
