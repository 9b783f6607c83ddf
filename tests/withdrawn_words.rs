//! Checks the names and the lints of the packages in `WHOLE`: no identifier contains a withdrawn word of an earlier
//! naming style, and each package warns of missing documentation and of unreachable public items, which the linter in CI
//! turns into errors. docs/glossary.md lists the terms to use instead; docs/ROADMAP.md lists the packages that are not
//! converted yet.

use std::path::{Path, PathBuf};

/// Folders of the packages that are checked: those whose conversion to the terms of docs/glossary.md is complete.
const WHOLE: [&str; 27] = [
    "src",
    "crates/admin",
    "crates/benchlink",
    "crates/benchmarks",
    "crates/cli",
    "crates/client",
    "crates/client-core",
    "crates/config",
    "crates/consensus",
    "crates/emulators",
    "crates/host",
    "crates/host-core",
    "crates/http",
    "crates/invariants",
    "crates/membership",
    "crates/overrides",
    "crates/planner",
    "crates/plans",
    "crates/platform",
    "crates/platform-host",
    "crates/scenario",
    "crates/simulator",
    "crates/store",
    "crates/target",
    "crates/trace",
    "crates/wire",
    "crates/workload",
];

/// Checked folders that do not warn of unreachable public items yet.
const REACHABILITY_NOT_CHECKED: [&str; 1] = ["src"];

/// Words that no identifier may contain.
const WITHDRAWN: [&str; 56] = [
    "xfer",
    "xfers",
    "leg",
    "legs",
    "abandon",
    "abandoned",
    "defer",
    "deferred",
    "expiry",
    "slo",
    "slos",
    "benefit",
    "rerun",
    "undone",
    "fellow",
    "fellows",
    "life",
    "lives",
    "beat",
    "tell",
    "tells",
    "told",
    "tellings",
    "paper",
    "papers",
    "loan",
    "loans",
    "strain",
    "twin",
    "twins",
    "namesake",
    "keeper",
    "keepers",
    "word",
    "words",
    "says",
    "say",
    "heard",
    "came",
    "agreement",
    "agreed",
    "seat",
    "parcel",
    "parcels",
    "fold",
    "folded",
    "posture",
    "sick",
    "trickle",
    "pace",
    "paces",
    "excess",
    "standins",
    "rulecheck",
    "ills",
    "trouble",
];

/// Identifiers that use a withdrawn word in another sense, with the reason why they are allowed.
const ALLOWED: [(&str, &str); 3] = [
    ("fold", "Iterator::fold of the standard library"),
    ("HALF_LIFE", "the half-life of route flap damping, RFC 2439"),
    ("half_lives", "the half-life of route flap damping, RFC 2439"),
];

fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Returns the code of a source text without comments and string literals. Line breaks are kept, so that line numbers
/// stay valid.
fn code_of(source: &str) -> String {
    let mut code = String::new();
    let mut rest = source;
    while let Some(c) = rest.chars().next() {
        let skipped = match c {
            '/' if rest.starts_with("//") => rest.find('\n').unwrap_or(rest.len()),
            '\'' if rest.starts_with("'\"'") || rest.starts_with("'\\\"'") => {
                rest[1..].find('\'').unwrap() + 2
            }
            '"' => string_literal_len(rest),
            'r' if !code.ends_with(char::is_alphanumeric) => raw_string_literal_len(rest).unwrap_or(0),
            _ => 0,
        };
        if skipped == 0 {
            code.push(c);
            rest = &rest[c.len_utf8()..];
        } else {
            code.extend(rest[..skipped].chars().filter(|c| *c == '\n'));
            rest = &rest[skipped..];
        }
    }
    code
}

/// Returns the length in bytes of the string literal that the source begins with.
fn string_literal_len(source: &str) -> usize {
    let mut escaped = false;
    for (at, c) in source.char_indices().skip(1) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return at + 1,
            _ => {}
        }
    }
    source.len()
}

/// Returns the length in bytes of the raw string literal that the source begins with, if it does.
fn raw_string_literal_len(source: &str) -> Option<usize> {
    let hashes = source[1..].chars().take_while(|c| *c == '#').count();
    let inside = source[1 + hashes..].strip_prefix('"')?;
    let end = format!("\"{}", "#".repeat(hashes));
    Some(2 + hashes + inside.find(&end)? + end.len())
}

/// Returns the words of an identifier in lower case, whether it is written in snake case or camel case.
fn words_of(identifier: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut after_lower = false;
    for c in identifier.chars() {
        if c == '_' || (c.is_uppercase() && after_lower) {
            words.push(String::new());
        }
        after_lower = c.is_lowercase();
        if c != '_' {
            words.last_mut().unwrap().extend(c.to_lowercase());
        }
    }
    words
}

/// Returns the identifiers of the code that contain a withdrawn word and are not allowed.
fn withdrawn_in(code: &str) -> Vec<String> {
    let identifiers = code.split(|c: char| !c.is_alphanumeric() && c != '_');
    let is_withdrawn = |identifier: &&str| {
        let is_allowed = ALLOWED.iter().any(|(allowed, _)| allowed == identifier);
        !is_allowed && words_of(identifier).iter().any(|word| WITHDRAWN.contains(&word.as_str()))
    };
    identifiers.filter(is_withdrawn).map(str::to_owned).collect()
}

/// No identifier of a checked package may contain a withdrawn word.
#[test]
fn whole_packages_hold_no_withdrawn_term() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut places = Vec::new();
    for folder in WHOLE {
        let source = if folder == "src" { root.join(folder) } else { root.join(folder).join("src") };
        let mut files = Vec::new();
        rust_files(&source, &mut files);
        assert!(!files.is_empty(), "{folder}: no source");
        for file in files {
            let text = std::fs::read_to_string(&file).unwrap();
            for (number, line) in code_of(&text).lines().enumerate() {
                for identifier in withdrawn_in(line) {
                    places.push(format!("{}:{}: {identifier}", file.display(), number + 1));
                }
            }
        }
    }
    assert!(places.is_empty(), "withdrawn words (docs/glossary.md has the terms):\n{}", places.join("\n"));
}

/// Returns whether the root module of a package warns of this lint.
fn warns(root_module: &str, lint: &str) -> bool {
    let is_warning = |line: &str| {
        let lints = line.strip_prefix("#![warn(").and_then(|rest| rest.strip_suffix(")]"));
        lints.is_some_and(|lints| lints.split(", ").any(|warned| warned == lint))
    };
    root_module.lines().any(is_warning)
}

/// Each checked package must warn of public items without a doc comment. A program has no items that are public in the
/// sense of `missing_docs`, so there Clippy's lint warns of those that the whole program can use.
#[test]
fn whole_packages_warn_of_missing_documentation() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for folder in WHOLE {
        let package = if folder == "src" { root.to_owned() } else { root.join(folder) };
        let library = package.join("src/lib.rs");
        let program = package.join("src/main.rs");
        let is_library = library.exists();
        let text = std::fs::read_to_string(if is_library { library } else { program }).unwrap();
        assert!(warns(&text, "missing_docs"), "{folder} does not warn of missing documentation");
        if !is_library {
            let lint = "clippy::missing_docs_in_private_items";
            assert!(warns(&text, lint), "{folder} does not warn of missing documentation inside the program");
            let settings = std::fs::read_to_string(package.join("clippy.toml")).unwrap();
            let covers_crate_items =
                settings.lines().any(|line| line == "missing-docs-in-crate-items = true");
            assert!(covers_crate_items, "{folder}/clippy.toml does not name the items that the lint covers");
        }
    }
}

/// A public item that nothing outside its package can reach hides that the item is unused, so each checked package must
/// warn of such items.
#[test]
fn whole_packages_warn_of_unreachable_public_items() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for folder in WHOLE.iter().filter(|folder| !REACHABILITY_NOT_CHECKED.contains(folder)) {
        let library = root.join(folder).join("src/lib.rs");
        let program = root.join(folder).join("src/main.rs");
        let text = std::fs::read_to_string(if library.exists() { library } else { program }).unwrap();
        assert!(warns(&text, "unreachable_pub"), "{folder} does not warn of unreachable public items");
    }
}

/// The check must find withdrawn words in identifiers, and skip those in strings and comments.
#[test]
fn the_check_finds_a_withdrawn_word_and_skips_strings_and_comments() {
    for (line, found) in [
        ("let next_leg = 1;", vec!["next_leg"]),
        ("struct SendLeg { legs: u32 }", vec!["SendLeg", "legs"]),
        ("const MOST_LEGS: u32 = 1; // legs", vec!["MOST_LEGS"]),
        ("#[serde(rename = \"legs\")] pub attempts: u32,", vec![]),
        ("let legal = \"a leg \\\" told\"; let swords = 2;", vec![]),
    ] {
        assert_eq!(withdrawn_in(&code_of(line)), found, "{line}");
    }
}
