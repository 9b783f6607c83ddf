//! Checks that each file in `mutants/` matches the code: the lines that it replaces exist, and so does the test that it names.

use std::path::Path;

/// A guard is changed or a test is renamed, so that its mutant no longer applies. CI does not run `mutants/run`, so this would go unnoticed
/// until the mutant is needed.
#[test]
fn mutants_quote_existing_lines_and_tests() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package.join("../..");
    let mut count = 0;
    for entry in std::fs::read_dir(package.join("mutants")).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_none_or(|extension| extension != "mutant") {
            continue;
        }
        count += 1;
        let name = path.display();
        let mutant = std::fs::read_to_string(&path).unwrap();
        let (named_test, rest) = mutant.split_once('\n').unwrap();
        let (file, lines) = rest.split_once('\n').unwrap();
        let (guard, _) = lines.split_once("====\n").unwrap();
        let source = std::fs::read_to_string(root.join(file)).unwrap();
        assert!(source.contains(guard), "{name}: {file} does not contain\n{guard}");
        let test = named_test.split(' ').nth(2).unwrap();
        assert!(
            is_defined_in(&root.join("crates/platform-host"), test)
                || is_defined_in(&root.join("tests"), test),
            "{name}: no test {test}"
        );
    }
    assert!(count >= 34, "{count} mutants");
}

fn is_defined_in(folder: &Path, test: &str) -> bool {
    std::fs::read_dir(folder).unwrap().any(|entry| {
        let path = entry.unwrap().path();
        if path.is_dir() {
            return is_defined_in(&path, test);
        }
        path.extension().is_some_and(|extension| extension == "rs")
            && std::fs::read_to_string(&path).unwrap().contains(&format!("fn {test}("))
    })
}
