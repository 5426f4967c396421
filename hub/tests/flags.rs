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
