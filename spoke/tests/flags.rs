//! Settings and flags of the program: which ones are rejected, and with which messages.

use std::process::{Command, Output};

fn spoke(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_spoke")).args(args).output().expect("the program runs")
}

/// All output of the program: stderr, then stdout.
fn output_text(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned() + &String::from_utf8_lossy(&out.stdout)
}

/// Flags that a node starts with.
const VALID_FLAGS: [&str; 14] = [
    "--name",
    "n1",
    "--area",
    "north",
    "--http",
    "127.0.0.1:1",
    "--peer",
    "127.0.0.1:2",
    "--seed",
    "127.0.0.1:3",
    "--seed",
    "127.0.0.1:4",
    "--seed",
    "127.0.0.1:5",
];

#[test]
fn help_is_given() {
    let out = spoke(&["--help"]);
    assert!(out.status.success());
    assert!(output_text(&out).contains("--file"));
}

#[test]
fn good_flags_pass_the_check() {
    let out = spoke(&[&VALID_FLAGS[..], &["--check"]].concat());
    assert!(out.status.success(), "{}", output_text(&out));
}

/// Fewer than three control nodes may be given, for a time at which fewer of them serve.
#[test]
fn two_seeds_pass_the_check() {
    let out = spoke(&[&VALID_FLAGS[..12], &["--check"]].concat());
    assert!(out.status.success(), "{}", output_text(&out));
}

#[test]
fn faults_name_their_field() {
    let no_seed = &VALID_FLAGS[..8];
    let four_seeds = &[&VALID_FLAGS[..], &["--seed", "127.0.0.1:6"]].concat();
    for (flags, text) in [(no_seed, "--seed is missing"), (four_seeds, "seeds: 4 addresses")] {
        let out = spoke(flags);
        assert_eq!(out.status.code(), Some(78));
        assert!(output_text(&out).contains(text), "{}", output_text(&out));
    }
    let out = spoke(&["--name", "n1"]);
    assert_eq!(out.status.code(), Some(78));
    assert!(output_text(&out).contains("--area"), "{}", output_text(&out));
}

#[test]
fn a_file_with_an_unknown_field_is_refused_by_name() {
    let dir = std::env::temp_dir().join(format!("portspoke-flags-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("s.json");
    std::fs::write(
        &file,
        r#"{"name":"n1","area":"x","http":"127.0.0.1:1","peer":"127.0.0.1:2","seeds":[],"colour":1}"#,
    )
    .unwrap();
    let out = spoke(&["--file", file.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(78));
    let text = output_text(&out);
    assert!(text.contains("s.json") && text.contains("colour"), "{text}");
    std::fs::remove_dir_all(&dir).unwrap();
}

/// On SIGHUP the settings file is read again: invalid settings are rejected with a log line, valid ones are applied.
/// SIGTERM ends the process with success.
#[test]
fn a_changed_file_is_taken_or_refused_while_the_process_goes_on() {
    use rustix::process::{Pid, Signal, kill_process};
    use std::io::{BufRead, BufReader};
    let dir = std::env::temp_dir().join(format!("portspoke-reload-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("s.json");
    let free_address = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (http, peer) = (free_address(), free_address());
    let write_settings = |more: &str| {
        let text = format!(
            r#"{{"name":"n1","area":"x","http":"{http}","peer":"{peer}",
            "seeds":["127.0.0.1:1","127.0.0.1:2","127.0.0.1:3"]{more}}}"#
        );
        std::fs::write(&file, text).unwrap();
    };
    write_settings("");
    let mut child = Command::new(env!("CARGO_BIN_EXE_spoke"))
        .arg("--file")
        .arg(&file)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let pid = Pid::from_raw(child.id() as i32).unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut wait_for_line =
        |part: &str| lines.by_ref().map(|l| l.unwrap()).find(|l| l.contains(part)).expect("the line comes");
    wait_for_line("serves");
    write_settings(r#","policy":{"max_lag":0}"#);
    kill_process(pid, Signal::HUP).unwrap();
    assert!(wait_for_line("refused").contains("policy.max_lag"));
    write_settings(r#","policy":{"max_lag":20}"#);
    kill_process(pid, Signal::HUP).unwrap();
    wait_for_line("the policy was changed");
    wait_for_line("settings were read again");
    kill_process(pid, Signal::TERM).unwrap();
    wait_for_line("going down");
    assert!(child.wait().unwrap().success());
    std::fs::remove_dir_all(&dir).unwrap();
}
