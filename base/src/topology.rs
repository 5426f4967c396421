//! Reads the topology of a deployment from a GeoJSON file, which has a point feature for each process with its name,
//! zone, role and addresses as properties.

use std::net::SocketAddr;

use geojson::{FeatureCollection, GeometryValue};

/// Whether a process is a control node or a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A control node; `hub` in the file.
    ControlNode,
    /// A node that serves clients; `spoke` in the file.
    Node,
}

/// One process of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessEntry {
    pub name: String,
    pub zone: String,
    pub role: Role,
    /// Address for clients, servers and operators.
    pub http: SocketAddr,
    /// Address for links from other processes.
    pub peer: SocketAddr,
}

/// How many features a file may have.
const MAX_FEATURES: usize = 10_000;

/// Reads a topology with exactly three control nodes; an error names the feature and the property.
pub fn read(text: &str) -> Result<Vec<ProcessEntry>, String> {
    let collection: FeatureCollection = text.parse().map_err(|e: geojson::Error| e.to_string())?;
    if collection.features.len() > MAX_FEATURES {
        return Err(format!("features: {} of at most {MAX_FEATURES}", collection.features.len()));
    }
    let mut processes: Vec<ProcessEntry> = Vec::new();
    for (i, feature) in collection.features.iter().enumerate() {
        let text_property = |field: &str| {
            let value = feature.property(field).and_then(|v| v.as_str()).filter(|v| !v.is_empty() && v.len() <= 64);
            value.ok_or(format!("feature {i}: property {field:?} is missing or not a text of 1 to 64 characters"))
        };
        let address = |field: &str| {
            let text = text_property(field)?;
            text.parse()
                .map_err(|_| format!("feature {i}: property {field:?}: {text:?} is not an IP address with a port"))
        };
        let is_point = feature.geometry.as_ref().is_some_and(|g| matches!(g.value, GeometryValue::Point { .. }));
        if !is_point {
            return Err(format!("feature {i}: its geometry is not a point"));
        }
        let role = match text_property("role")? {
            "hub" => Role::ControlNode,
            "spoke" => Role::Node,
            other => return Err(format!("feature {i}: property \"role\": {other:?} is not hub or spoke")),
        };
        let process = ProcessEntry {
            name: text_property("name")?.into(),
            zone: text_property("area")?.into(),
            role,
            http: address("http")?,
            peer: address("peer")?,
        };
        if let Some(j) = processes.iter().position(|other| other.name == process.name) {
            return Err(format!("feature {i}: feature {j} has the name {:?} too", process.name));
        }
        processes.push(process);
    }
    let control_nodes = processes.iter().filter(|p| p.role == Role::ControlNode).count();
    if control_nodes != 3 {
        return Err(format!("{control_nodes} features have the role hub, but there must be three"));
    }
    Ok(processes)
}
