//! `tackmast plan` against a running host: `apply` reads what `show` prints, and the change log can be verified.

use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

struct Served(Child);

impl Drop for Served {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

fn settings(dir: &Path) -> String {
    let (store, admin) = (dir.join("store"), dir.join("admin"));
    format!(
        "host {{\n number = 0\n hosts = 2\n listen = \"127.0.0.1:0\"\n node_list = \"127.0.0.1:1\"\n}}\n\
         units {{\n bytes = 4096\n most = 8\n mean = 2\n}}\n\
         overrides {{\n store = {store:?}\n admin = {admin:?}\n}}\n\
         plans {{\n home = 0\n node_units = 500\n bears = {{ \"3\" = 800 }}\n}}\n\
         plan \"basic\" {{\n limit = 40\n burst = 64\n slack = 8\n}}\nplan \"free\" {{\n}}\n\
         stream \"s\" {{\n slo_ms = 200\n expiry_ms = 1000\n effect = \"repeatable\"\n}}\n\
         volume \"museum\" {{\n lun = 0\n plan = \"basic\"\n blocks = 100000\n extent_blocks = 64\n shards = [0, 3]\n \
         hosts = 2\n through = [0, 1]\n reads = \"s\"\n writes = \"s\"\n}}\n"
    )
}

fn tackmast(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tackmast")).args(args).output().expect("the command runs")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// An operator prints the plans of a running host, applies a change, undoes it and tries some that are refused. What was printed can be
/// applied again, and the change log is verified from its own text, unless a word of it is altered.
#[test]
fn shown_plans_can_be_applied_and_the_change_log_is_verified() {
    let dir = tempfile::tempdir().unwrap();
    let at = |name: &str| dir.path().join(name).display().to_string();
    std::fs::write(at("host.hcl"), settings(dir.path())).unwrap();
    let mut serve = Command::new(env!("CARGO_BIN_EXE_tackmast"));
    serve.args(["serve", "--config", &at("host.hcl")]).stdout(Stdio::null()).stderr(Stdio::null());
    let _served = Served(serve.spawn().expect("the host starts"));
    let socket = at("admin");
    let plan = |args: &[&str]| tackmast(&[&["plan"], args].concat());
    let end = Instant::now() + Duration::from_secs(10);
    let shown = loop {
        let show = plan(&["show", "--host", &socket]);
        if show.status.success() {
            break out(&show);
        }
        assert!(Instant::now() < end, "no answer: {}", String::from_utf8_lossy(&show.stderr));
        std::thread::sleep(Duration::from_millis(50));
    };
    let file = at("plans.hcl");
    let by = ["--who", "ann", "--why", "museum week", "--host", &socket];
    std::fs::write(&file, &shown).unwrap();
    let same = plan(&["diff", &file, "--host", &socket]);
    assert!(same.status.success() && out(&same).contains("nothing to change"), "{}\n{shown}", out(&same));

    // A lower limit, and the volume under another plan: first only shown, then applied.
    let other = shown.replace("limit = 40", "limit = 20").replace("plan = \"basic\"", "plan = \"free\"");
    assert_ne!(other, shown);
    std::fs::write(&file, &other).unwrap();
    let diff = plan(&["diff", &file, "--host", &socket]);
    assert!(
        out(&diff).contains("nothing has changed") && out(&diff).contains("\"limit\":20"),
        "{}",
        out(&diff)
    );
    let applied = plan(&[&["apply", &file][..], &by].concat());
    assert!(applied.status.success() && out(&applied).contains("change 1, version 1"), "{}", out(&applied));
    let undo = plan(&[&["undo", "1"][..], &by].concat());
    assert!(undo.status.success() && out(&undo).contains("change 2"), "{}", out(&undo));
    assert_eq!(
        out(&plan(&["show", "--host", &socket])).lines().skip(2).count(),
        shown.lines().skip(1).count()
    );

    // Refused with the reason: removing a plan that has a volume, a base version that has changed since.
    for (args, part) in [
        (vec!["apply", &file, "--remove", "basic", "--remove", "free"], "museum"),
        (vec!["apply", &file, "--base", "0"], "moved since then"),
        (vec!["undo", "9"], "change 9"),
    ] {
        let refused = plan(&[&args[..], &by].concat());
        let why = String::from_utf8_lossy(&refused.stderr).into_owned();
        assert!(!refused.status.success() && why.contains(part), "{args:?}: {why}");
    }

    let log = out(&plan(&["log", "--host", &socket]));
    assert!(log.contains("ann") && log.contains("museum week"), "{log}");
    let verified = plan(&["log", "--verify", "--host", &socket]);
    assert!(verified.status.success() && out(&verified).starts_with("2 changes"), "{}", out(&verified));
    let printed = out(&plan(&["log", "--json", "--host", &socket]));
    for (name, text, good) in [
        ("whole", printed.clone(), true),
        ("altered", printed.replacen("museum week", "museum weak", 1), false),
    ] {
        std::fs::write(at(name), &text).unwrap();
        let verified = plan(&["log", "--verify", "--from", &at(name)]);
        assert_eq!(verified.status.success(), good, "{name}: {}", String::from_utf8_lossy(&verified.stderr));
    }
}
