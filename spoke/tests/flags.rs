//! Settings and flags of the program: what is refused, how it is told.

use std::process::{Command, Output};

fn spoke(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_spoke")).args(args).output().expect("the program runs")
}

fn told(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned() + &String::from_utf8_lossy(&out.stdout)
}

const GOOD: [&str; 14] = [
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
    assert!(told(&out).contains("--file"));
}

#[test]
fn good_flags_pass_the_check() {
    let out = spoke(&[&GOOD[..], &["--check"]].concat());
    assert!(out.status.success(), "{}", told(&out));
}

/// Fewer control nodes than three are named where fewer serve just then.
#[test]
fn two_seeds_pass_the_check() {
    let out = spoke(&[&GOOD[..12], &["--check"]].concat());
    assert!(out.status.success(), "{}", told(&out));
}

#[test]
fn faults_name_their_field() {
    let none = &GOOD[..8];
    let four = &[&GOOD[..], &["--seed", "127.0.0.1:6"]].concat();
    for (flags, text) in [(none, "--seed is missing"), (four, "seeds: 4 addresses")] {
        let out = spoke(flags);
        assert_eq!(out.status.code(), Some(78));
        assert!(told(&out).contains(text), "{}", told(&out));
    }
    let out = spoke(&["--name", "n1"]);
    assert_eq!(out.status.code(), Some(78));
    assert!(told(&out).contains("--area"), "{}", told(&out));
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
    let text = told(&out);
    assert!(text.contains("s.json") && text.contains("colour"), "{text}");
    std::fs::remove_dir_all(&dir).unwrap();
}

/// A changed file is read on SIGHUP: a bad one is refused and told, a good one taken; SIGTERM ends the process well.
#[test]
fn a_changed_file_is_taken_or_refused_while_the_process_goes_on() {
    use rustix::process::{Pid, Signal, kill_process};
    use std::io::{BufRead, BufReader};
    let dir = std::env::temp_dir().join(format!("portspoke-reload-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("s.json");
    let port = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (http, peer) = (port(), port());
    let write = |more: &str| {
        let text = format!(
            r#"{{"name":"n1","area":"x","http":"{http}","peer":"{peer}",
            "seeds":["127.0.0.1:1","127.0.0.1:2","127.0.0.1:3"]{more}}}"#
        );
        std::fs::write(&file, text).unwrap();
    };
    write("");
    let mut child = Command::new(env!("CARGO_BIN_EXE_spoke"))
        .arg("--file")
        .arg(&file)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let pid = Pid::from_raw(child.id() as i32).unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut until = |part: &str| lines.by_ref().map(|l| l.unwrap()).find(|l| l.contains(part)).expect("the line comes");
    until("serves");
    write(r#","policy":{"max_lag":0}"#);
    kill_process(pid, Signal::HUP).unwrap();
    assert!(until("refused").contains("policy.max_lag"));
    write(r#","policy":{"max_lag":20}"#);
    kill_process(pid, Signal::HUP).unwrap();
    until("the policy was changed");
    until("settings were read again");
    kill_process(pid, Signal::TERM).unwrap();
    until("going down");
    assert!(child.wait().unwrap().success());
    std::fs::remove_dir_all(&dir).unwrap();
}
