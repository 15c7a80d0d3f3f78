//! Checks that every link between Markdown pages resolves and that some page links to every page.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the checkout")
}

fn pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            pages(&path, found);
        } else if path.extension().is_some_and(|e| e == "md") {
            found.push(path);
        }
    }
}

/// Paths of the files that a page links to.
fn links(page: &Path) -> Vec<PathBuf> {
    let text = std::fs::read_to_string(page).expect("a page");
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|t| !t.contains("://") && !t.starts_with('#'));
    let folder = page.parent().expect("a folder");
    files.map(|t| folder.join(t.split('#').next().unwrap_or_default())).collect()
}

#[test]
fn links_lead_to_files_and_pages_are_linked() {
    let root = root();
    let mut all = vec![root.join("README.md"), root.join("CONTRIBUTING.md")];
    pages(&root.join("docs"), &mut all);
    let mut reached = BTreeSet::new();
    let mut broken = Vec::new();
    for page in &all {
        for link in links(page) {
            match link.canonicalize() {
                Ok(file) => drop(reached.insert(file)),
                Err(_) => broken.push(format!("{}: {}", page.display(), link.display())),
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    // The pages of the matrix of proofs are linked as a folder, not one by one.
    let proofs = root.join("docs/proofs");
    let lost = all[2..].iter().filter(|p| !p.starts_with(&proofs) && !reached.contains(*p));
    let lost: Vec<String> = lost.map(|p| p.display().to_string()).collect();
    assert!(lost.is_empty(), "no page links to {}", lost.join(", "));
}
