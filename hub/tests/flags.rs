//! Command-line flags that only control nodes have.

use std::process::Command;

#[test]
fn a_control_node_needs_a_data_folder() {
    let args = [
        "--name",
        "h1",
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
        "--check",
    ];
    let out = Command::new(env!("CARGO_BIN_EXE_hub")).args(args).output().unwrap();
    assert_eq!(out.status.code(), Some(78));
    assert!(String::from_utf8_lossy(&out.stderr).contains("data:"));
    let out = Command::new(env!("CARGO_BIN_EXE_hub")).args(args).args(["--data", "/tmp"]).output().unwrap();
    assert!(out.status.success());
}

/// No image is rescued from a folder without one, or while a control node may be running on it.
#[test]
fn an_image_is_rescued_only_from_a_stopped_control_node_that_holds_one() {
    let folder = std::env::temp_dir().join(format!("portspoke-rescue-{}", std::process::id()));
    // A separate loopback address, so that no other process takes the port once it is free.
    let socket = std::net::TcpListener::bind("127.77.0.1:0").unwrap();
    let peer = socket.local_addr().unwrap().to_string();
    let run = |action: &str| {
        let mut args: Vec<&str> = vec!["--name", "h1", "--area", "north", "--http", "127.0.0.1:1", "--peer", &peer];
        ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"].iter().for_each(|s| args.extend(["--seed", s]));
        args.extend(["--data", folder.to_str().unwrap(), "--rescue", action]);
        let out = Command::new(env!("CARGO_BIN_EXE_hub")).args(args).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    let (code, text) = run("look");
    assert!(code == Some(69) && text.contains("stop this control node first"), "{code:?} {text}");
    drop(socket);
    let (code, text) = run("take-1-1-1");
    assert!(code == Some(1) && text.contains("holds no image"), "{code:?} {text}");
    std::fs::remove_dir_all(folder).unwrap();
}

/// A record of a run tells which build was played.
#[test]
fn the_version_names_the_target_of_the_build() {
    let out = Command::new(env!("CARGO_BIN_EXE_hub")).arg("--version").output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success() && text.starts_with("hub ") && text.contains(std::env::consts::ARCH), "{text}");
}

/// A control node that can't start says which address or file is at fault.
#[test]
fn an_address_in_use_and_a_data_folder_that_is_a_file_are_named() {
    let folder = std::env::temp_dir().join(format!("portspoke-start-{}", std::process::id()));
    let socket = std::net::TcpListener::bind("127.78.0.1:0").unwrap();
    let peer = socket.local_addr().unwrap().to_string();
    let run = |data: &std::path::Path| {
        let mut args: Vec<&str> = vec!["--name", "h1", "--area", "north", "--http", "127.78.0.1:1", "--peer", &peer];
        ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"].iter().for_each(|seed| args.extend(["--seed", seed]));
        args.extend(["--data", data.to_str().unwrap()]);
        let out = Command::new(env!("CARGO_BIN_EXE_hub")).args(args).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    let (code, text) = run(&folder);
    assert!(code == Some(69) && text.contains(&peer), "{code:?} {text}");
    let file = folder.join("file");
    std::fs::write(&file, "").unwrap();
    let (code, text) = run(&file);
    assert!(code == Some(69) && text.contains(file.to_str().unwrap()), "{code:?} {text}");
    std::fs::remove_dir_all(folder).unwrap();
}

/// A control node whose address is still held by an earlier process starts once that one has ended.
#[test]
fn an_address_that_becomes_free_is_taken() {
    let folder = std::env::temp_dir().join(format!("portspoke-free-{}", std::process::id()));
    let socket = std::net::TcpListener::bind("127.79.0.1:0").unwrap();
    let peer = socket.local_addr().unwrap().to_string();
    let http = std::net::TcpListener::bind("127.79.0.2:0").unwrap().local_addr().unwrap().to_string();
    let mut args: Vec<&str> = vec!["--name", "h1", "--area", "north", "--http", &http, "--peer", &peer];
    ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"].iter().for_each(|seed| args.extend(["--seed", seed]));
    args.extend(["--data", folder.to_str().unwrap()]);
    let mut child = Command::new(env!("CARGO_BIN_EXE_hub"))
        .args(&args)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(child.stdout.take().unwrap()));
    let mut next_with = |text: &str| lines.by_ref().map_while(Result::ok).any(|line| line.contains(text));
    let is_waiting = next_with("is in use");
    drop(socket);
    let is_started = next_with("serves");
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
    assert!(is_waiting && is_started, "waited: {is_waiting}, started: {is_started}");
}
