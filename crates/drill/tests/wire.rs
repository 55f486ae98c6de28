//! Runs the adapter as its caller does: lines on standard input, lines on standard output, and an exit
//! status.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str = concat!(
    r#"{"balancers":1,"slot_no":0,"my_zone":"a","localities":["a"],"machine_types":["read","both"],"new_key":1,"#,
    r#""services":[{"name":"chat","slo_s":1,"idempotency":"repeatable","dedup_scope":"all","window_s":5,"#,
    r#""importance":1}],"caps":{"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after_s":0.5,"#,
    r#""max_attempts":5},"family_info":{"aim_us_per_1000_prompt_tokens":[40000],"holds_allowed":false,"#,
    r#""kv_tokens":[100000,100000],"pin_limit_s":0.5,"role_by_kind":["read","both"],"self_prefill":false},"#,
    r#""invariants":{"cold_s":12,"cold_share":0.3,"fall_multiple":2.5,"fall_s":2},"resolution_s":0.002}"#
);

fn run(input: &str) -> Output {
    let mut drill = Command::new(env!("CARGO_BIN_EXE_paddleproxy-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drill.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    drill.wait_with_output().unwrap()
}

fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

fn error_output(input: &str) -> String {
    let output = run(input);
    assert!(!output.status.success());
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn a_completion_is_dispatched_and_its_failure_rate_limited() {
    let start = format!(
        "BEGIN_BATCH\t1.0\nPROVISION\t3\t7\t{CONF}\nSNAPSHOT_ROWS\t0\t1\nROW\tw-1\ta\tboth\t0\tU\t1\t-\n\
         DISCOVERY\t3\tSAVED\t1\t0\nSNAPSHOT_ROWS\t0\t0\nUNHEARD_OF\t3\nEOB\n"
    );
    let arrive = "BEGIN_BATCH\t2.0\nNEW_REQUEST\t3\t11\tchat\t5\t6.0\t900\t99\t-\t-\t-\t0\t-\textra\nEOB\n";
    let end = "BEGIN_BATCH\t2.5\nRESULT\t3\t11\t0.5\tw-1\t0\t0\tfault\t-\tpending:3,odd:1\nEOB\n";
    let gone = "BEGIN_BATCH\t3.0\nSTOP\t3\nTIMEOUT_FIRED\t3\tc11\nEOB\n";
    assert_eq!(
        replies(&[start.as_str(), arrive, end, gone].concat()),
        "EOR\nISSUE\t3\t11\tw-1\t2.072000\nARM\t3\t3.996000\tc11\nEOR\nREFUSE\t3\t11\t0.500000\nEOR\nEOR\n"
    );
}

#[test]
fn incomplete_settings_end_the_instance() {
    let reply = replies("BEGIN_BATCH\t1.0\nPROVISION\t3\t7\t{\"balancers\":1}\nEOB\n");
    assert!(reply.starts_with("DIE\t3\tsettings: missing field"), "{reply}");
}

#[test]
fn errors_name_the_malformed_line() {
    let cases = [
        ("BEGIN_BATCH\tsoon\nEOB\n", "line 1: message BEGIN_BATCH: field wall_s: 'soon'"),
        ("BEGIN_BATCH\t1\nEXPIRED\t3\nEOB\n", "line 2: message EXPIRED: field call: missing"),
        (
            "BEGIN_BATCH\t1\nDISCOVERY\t3\tFULL\t1\t4\nEOB\n",
            "line 2: message DISCOVERY: field set_id: no list 4",
        ),
        ("BEGIN_BATCH\t1\n", "line 2: message EOB: the batch has no end"),
    ];
    for (input, expected) in cases {
        let errors = error_output(input);
        assert!(errors.contains(expected), "{errors}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
    }
}
