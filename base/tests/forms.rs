//! Parsing and validation of settings, topology, configurations and tokens, and the response to each error kind.

use base::{
    ErrorKind,
    edge::{
        client::Token,
        error_response,
        operator::{Configuration, ConfigurationChange, Limits, configuration_faults},
    },
    error::WriteOutcome,
    strict,
};
use bolero::check as fuzz;

#[test]
fn every_error_has_one_row_and_a_final_answer() {
    let mut names = std::collections::BTreeSet::new();
    for kind in ErrorKind::ALL {
        let error = kind.response();
        assert!(names.insert(error.name), "{} is used twice", error.name);
        let response = error_response(kind, "", Some(WriteOutcome::NotCommitted));
        assert_eq!(response.status, error.status);
        assert_eq!(response.header("retry-after").is_some(), error.retry_after_s.is_some());
        // A temporary error states when to retry.
        assert_eq!(error.retry_after_s.is_some(), error.status >= 500, "{}", error.name);
        assert!(String::from_utf8_lossy(&response.body).contains(error.name));
    }
    let table = include_str!("../../docs/errors.md");
    for kind in ErrorKind::ALL {
        let error = kind.response();
        let retry = error.retry_after_s.map_or("-".to_string(), |r| r.to_string());
        let line = format!("| {} | {} | {retry} |", error.name, error.status);
        assert!(table.contains(&line), "docs/errors.md lacks {line:?}");
    }
}

#[test]
fn faults_in_a_configuration_are_named() {
    let fault = |text: &str| strict::read::<Configuration>(text.as_bytes()).unwrap_err().to_string();
    assert!(fault("{\"doorways\":[],\"groups\":[],\"colour\":1}").contains("colour"));
    assert!(fault("{\"doorways\":[],\"doorways\":[],\"groups\":[]}").contains("doorways"));
    assert!(fault("{\"doorways\":[]}").contains("groups"));
    assert!(fault("{\"doorways\":[],\"groups\":[]} {}").contains("after the value"));
    assert!(strict::read::<Configuration>(&[0xff]).unwrap_err().to_string().contains("UTF-8"));
    assert!(fault("{\"doorways\":[{\"name\":1}],\"groups\":[]}").contains("name"));
    let deep = "[".repeat(100_000);
    assert!(strict::read::<Configuration>(format!("{{\"doorways\":{deep}").as_bytes()).is_err());
}

#[test]
fn all_faults_of_a_configuration_are_reported_at_once() {
    let text = r#"{"doorways":[{"name":"a b","group":"x","promise":"soon"},{"name":"p","group":"g","promise":"any"},
        {"name":"p","group":"g","promise":"any"}],"groups":[{"name":"g","servers":["s","s"],"cap":1}]}"#;
    let configuration: Configuration = strict::read(text.as_bytes()).unwrap();
    let faults = configuration_faults(
        &configuration.doorways,
        &configuration.groups,
        &Limits { statement_ms: 1, idle_ms: 10_000 },
    )
    .join("\n");
    for part in [
        "\"a b\"",
        "no group \"x\"",
        "\"soon\"",
        "doorway \"p\": named twice",
        "server \"s\"",
        "cap 1",
        "statement_ms 1",
    ] {
        assert!(faults.contains(part), "{part} is not in {faults}");
    }
}

#[test]
fn a_token_is_unchanged_after_parsing_and_formatting() {
    for text in ["0.0", "3.17", "3.17!", "18446744073709551615.18446744073709551615!"] {
        assert_eq!(text.parse::<Token>().unwrap().to_string(), text);
    }
    for text in ["", ".", "1", "1.2.3", "-1.2", "1.2!!", "99999999999999999999.1"] {
        assert!(text.parse::<Token>().is_err(), "{text}");
    }
}

#[test]
fn any_text_is_read_or_refused() {
    fuzz!().with_iterations(50_000).for_each(|data: &[u8]| {
        let _ = strict::read::<Configuration>(data);
        let _ = strict::read::<ConfigurationChange>(data);
        let _ = base::settings::read(data);
    });
}

/// Mutates a valid configuration, so that the parser gets past its first token.
#[test]
fn any_mutated_configuration_is_read_or_refused() {
    let valid = br#"{"after":3,"doorways":[{"name":"p","group":"g","promise":"any","fall":true}],"groups":[{"name":"g","servers":["s"],"cap":80}],"limits":{"statement_ms":4000,"idle_ms":10000}}"#;
    fuzz!().with_type::<Vec<(u16, u8)>>().with_iterations(50_000).for_each(|mutations| {
        let mut text = valid.to_vec();
        for (index, byte) in mutations.iter().take(4) {
            let index = usize::from(*index) % text.len();
            text[index] = *byte;
        }
        if let Ok(configuration) = strict::read::<Configuration>(&text) {
            let _ = configuration_faults(
                &configuration.doorways,
                &configuration.groups,
                &configuration.limits.unwrap_or_default(),
            );
        }
    });
}

const TOPOLOGY: &str = r#"{"type":"FeatureCollection","features":[
  {"type":"Feature","geometry":{"type":"Point","coordinates":[-106.6,52.1]},
   "properties":{"name":"h1","area":"north","role":"hub","http":"127.0.0.1:1","peer":"127.0.0.1:2"}},
  {"type":"Feature","geometry":{"type":"Point","coordinates":[-104.6,50.4]},
   "properties":{"name":"h2","area":"mid","role":"hub","http":"127.0.0.1:3","peer":"127.0.0.1:4"}},
  {"type":"Feature","geometry":{"type":"Point","coordinates":[-105.7,53.2]},
   "properties":{"name":"h3","area":"south","role":"hub","http":"127.0.0.1:5","peer":"127.0.0.1:6"}},
  {"type":"Feature","geometry":{"type":"Point","coordinates":[-105.7,53.2]},
   "properties":{"name":"n1","area":"south","role":"spoke","http":"127.0.0.1:7","peer":"127.0.0.1:8"}}]}"#;

#[test]
fn a_topology_is_read_and_its_faults_name_their_place() {
    use base::topology::{Role, read};
    let processes = read(TOPOLOGY).unwrap();
    assert_eq!(processes.len(), 4);
    assert_eq!(
        (processes[3].name.as_str(), processes[3].role, processes[3].zone.as_str()),
        ("n1", Role::Node, "south")
    );
    let fault = |from: &str, to: &str| read(&TOPOLOGY.replacen(from, to, 1)).unwrap_err();
    assert!(fault("\"h2\"", "\"h1\"").contains("feature 1: feature 0 has the name"));
    assert!(fault("127.0.0.1:5", "here").contains("feature 2: property \"http\""));
    assert!(fault("\"spoke\"", "\"wheel\"").contains("feature 3: property \"role\""));
    assert!(fault("\"hub\"", "\"spoke\"").contains("2 features"));
    assert!(fault("\"area\":\"north\",", "").contains("feature 0: property \"area\""));
    assert!(fault("{\"type\":\"Point\",\"coordinates\":[-104.6,50.4]}", "null").contains("feature 1: its geometry"));
    assert!(fault("]}", "").contains("line"), "the error of a truncated text names the line");
    fuzz!().with_iterations(20_000).for_each(|data: &[u8]| {
        let _ = read(&String::from_utf8_lossy(data));
    });
}
