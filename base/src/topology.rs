//! A deployment's topology read from a GeoJSON file: a point for each process, with its place as properties.

use std::net::SocketAddr;

use geojson::{FeatureCollection, GeometryValue};

/// What a point stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Hub,
    Spoke,
}

/// One process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessEntry {
    pub name: String,
    pub zone: String,
    pub role: Role,
    pub http: SocketAddr,
    pub peer: SocketAddr,
}

/// The most features a file may have.
const MOST: usize = 10_000;

/// Reads a topology; a fault names the feature and the field.
pub fn read(text: &str) -> Result<Vec<ProcessEntry>, String> {
    let all: FeatureCollection = text.parse().map_err(|e: geojson::Error| e.to_string())?;
    if all.features.len() > MOST {
        return Err(format!("features: {} of at most {MOST}", all.features.len()));
    }
    let mut out: Vec<ProcessEntry> = Vec::new();
    for (i, f) in all.features.iter().enumerate() {
        let word = |field: &str| {
            let value = f.property(field).and_then(|v| v.as_str()).filter(|v| !v.is_empty() && v.len() <= 64);
            value.ok_or(format!("feature {i}: property {field:?} is missing or no text of 1 to 64 characters"))
        };
        let addr = |field: &str| {
            let text = word(field)?;
            text.parse()
                .map_err(|_| format!("feature {i}: property {field:?}: {text:?} is not an IP address with a port"))
        };
        let point = f.geometry.as_ref().is_some_and(|g| matches!(g.value, GeometryValue::Point { .. }));
        if !point {
            return Err(format!("feature {i}: its geometry is not a point"));
        }
        let role = match word("role")? {
            "hub" => Role::Hub,
            "spoke" => Role::Spoke,
            other => return Err(format!("feature {i}: property \"role\": {other:?} is not hub or spoke")),
        };
        let spot = ProcessEntry {
            name: word("name")?.into(),
            zone: word("area")?.into(),
            role,
            http: addr("http")?,
            peer: addr("peer")?,
        };
        if let Some(j) = out.iter().position(|o| o.name == spot.name) {
            return Err(format!("feature {i}: feature {j} has the name {:?} too", spot.name));
        }
        out.push(spot);
    }
    let hubs = out.iter().filter(|s| s.role == Role::Hub).count();
    if hubs != 3 {
        return Err(format!("{hubs} features have the role hub, where three belong"));
    }
    Ok(out)
}
