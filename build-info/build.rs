//! Passes the commit and the target of this build to the crate. A build outside a git checkout works as well.

use std::{
    env, fs,
    path::{Path, PathBuf},
};

/// How many hexadecimal digits of a commit are shown.
const COMMIT_DIGITS: usize = 12;

/// The commit that `HEAD` of a git folder points to, and the files that say so.
fn head_commit(git: &Path) -> (Option<String>, Vec<PathBuf>) {
    let head = git.join("HEAD");
    let mut files = vec![head.clone()];
    let Ok(text) = fs::read_to_string(&head) else { return (None, files) };
    let Some(reference) = text.trim().strip_prefix("ref: ") else { return (Some(text.trim().to_string()), files) };
    let (loose, packed) = (git.join(reference), git.join("packed-refs"));
    files.extend([loose.clone(), packed.clone()]);
    if let Ok(commit) = fs::read_to_string(loose) {
        return (Some(commit.trim().to_string()), files);
    }
    let packed = fs::read_to_string(packed).unwrap_or_default();
    let commit = packed.lines().find_map(|line| line.strip_suffix(reference)?.split_whitespace().next());
    (commit.map(ToString::to_string), files)
}

fn main() {
    let root = PathBuf::from(env::var("CARGO_MANIFEST_DIR").unwrap_or_default()).join("..");
    let (commit, files) = head_commit(&root.join(".git"));
    let commit = commit.filter(|commit| commit.len() >= COMMIT_DIGITS);
    let commit = commit.as_deref().map_or("unknown commit", |commit| &commit[..COMMIT_DIGITS]);
    println!("cargo:rustc-env=PORTSPOKE_COMMIT={commit}");
    println!("cargo:rustc-env=PORTSPOKE_TARGET={}", env::var("TARGET").unwrap_or_default());
    println!("cargo:rerun-if-changed=build.rs");
    // A file that does not exist would have the script run at each build.
    files.iter().filter(|file| file.exists()).for_each(|file| println!("cargo:rerun-if-changed={}", file.display()));
}
