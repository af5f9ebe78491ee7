//! Tests of the program's commands, run as processes.

use std::fs;
use std::io;
use std::io::{BufRead, Write};
use std::net;
use std::path;
use std::process;
use std::thread;

use rstest::rstest;
use testkit::platform;

const BINARY: &str = env!("CARGO_BIN_EXE_carobbay");

fn example(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Runs the program and returns its exit code with both outputs.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = process::Command::new(BINARY)
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Creates a settings folder for a test, with one file.
fn folder(name: &str, text: &str) -> path::PathBuf {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("the folder can be made");
    fs::write(folder.join("10.ini"), text).expect("the file can be written");
    folder
}

/// Guards against example settings with problems.
#[rstest]
#[case("kalahari")]
#[case("ganci-alpini")]
fn the_examples_have_no_problems(#[case] name: &str) {
    let folder = example(name);
    let (code, out, _) = run(&["check", &folder.display().to_string()]);
    assert_eq!(code, Some(0), "{out}");
}

/// Guards against problems reported without file and line, and against a wrong exit code.
#[test]
fn problems_name_file_and_line() {
    let folder = folder("bad", "[class a]\nteir = 1\n");
    let folder = folder.display().to_string();
    for command in [vec!["check", &folder], vec!["serve", "--settings", &folder]] {
        let (code, out, error) = run(&command);
        assert_eq!(code, Some(3));
        let all = out + &error;
        assert!(all.contains("10.ini:2") && all.contains("tier"), "{all}");
    }
}

/// Guards against an explanation that omits the settings behind a decision.
#[test]
fn explain_names_the_deciding_settings() {
    let folder = example("kalahari").display().to_string();
    let key = "kalahari-label-printers";
    let arguments = ["explain", "--settings", &folder, "--key", key];
    let (code, out, _) = run(&[&arguments[..], &["--model", "proofing"]].concat());
    assert_eq!(code, Some(0));
    for part in [
        "label-printers",
        "door-label",
        "30-teams.ini:",
        "proofing-a-1",
    ] {
        assert!(out.contains(part), "{part}: {out}");
    }
    let (code, out, _) = run(&[&arguments[..], &["--model", "none"]].concat());
    assert_eq!(code, Some(1));
    assert!(out.contains("unknown_model"), "{out}");
}

/// Guards against completion scripts that lack a command, and help texts without examples
/// or exit codes.
#[test]
fn completions_and_help_name_every_command() {
    let (code, out, _) = run(&["completions", "bash"]);
    assert_eq!(code, Some(0));
    let commands = [
        "serve",
        "check",
        "status",
        "explain",
        "report",
        "demo",
        "completions",
    ];
    for command in commands {
        assert!(out.contains(command), "{command}");
        let (code, help, _) = run(&[command, "--help"]);
        assert_eq!(code, Some(0));
        assert!(
            help.contains("Example") && help.contains("Exit codes"),
            "{help}"
        );
    }
    assert_eq!(run(&["status", "--nothing"]).0, Some(2));
}

/// Process that runs `carobbay serve`.
struct Process {
    child: process::Child,
    admin: String,
    // Kept open: the process must have a reader of its output.
    _out: io::Lines<io::BufReader<process::ChildStdout>>,
    log: io::Lines<io::BufReader<process::ChildStderr>>,
}

impl Process {
    fn start(folder: &path::Path) -> Self {
        Self::with(&["--settings", &folder.display().to_string()])
    }

    fn with(arguments: &[&str]) -> Self {
        let local = "127.0.0.1:0";
        let mut child = process::Command::new(BINARY)
            .arg("serve")
            .args(arguments)
            .args(["--name", "h", "--data-centre", "d", "--region", "r"])
            .args(["--listen", local, "--admin-listen", local])
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        let out = child.stdout.take().expect("an output");
        let mut out = io::BufReader::new(out).lines();
        let log = child.stderr.take().expect("a log");
        let line = out.next().expect("a line").expect("text");
        let admin = line.split("admin=").nth(1).expect("an address").to_owned();
        Self {
            child,
            admin,
            _out: out,
            log: io::BufReader::new(log).lines(),
        }
    }

    /// Waits for a log line that contains `part`.
    ///
    /// # Panics
    ///
    /// Panics if the log ends without such a line.
    fn wait_for_log(&mut self, part: &str) {
        let found = self.log.any(|line| line.expect("text").contains(part));
        assert!(found, "no log line contains {part}");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = process::Command::new("kill").args([name, &id]).status();
        assert!(status.expect("the signal is sent").success());
    }

    /// Returns the hash of the settings in force.
    fn content(&self) -> String {
        let admin = ["--admin", &self.admin, "--key", "operate"];
        let (code, out, error) = run(&[&["status", "--format", "json"], &admin[..]].concat());
        assert_eq!(code, Some(0), "{error}");
        let status: serde_json::Value = serde_json::from_str(&out).expect("JSON");
        status[0]["status"]["content"]
            .as_str()
            .expect("a hash")
            .to_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process still runs if the test failed.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn settings(tier: &str) -> String {
    let hash = "2c29d39181de8f853de5e48ba983a5c88612b9dbaa5ab32c7748800a0840aeb8";
    format!(
        "[class a]\ntier = {tier}\ntarget_first = 1s\ndeadline = 10s\n\
         [anonymous]\nclass = a\n[admin]\noperate_key_hash = {hash}\n"
    )
}

/// Guards against a reload that applies settings with problems or ignores valid ones, and
/// against a host that does not end on SIGTERM.
#[test]
fn a_reload_applies_valid_settings_only() {
    let folder = folder("served", &settings("1"));
    let mut process = Process::start(&folder);
    let first = process.content();
    fs::write(folder.join("10.ini"), settings("9999")).expect("the file can be written");
    process.signal("-HUP");
    process.wait_for_log("settings refused");
    let (code, out, _) = run(&["status", "--admin", &process.admin, "--key", "operate"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("local settings in force"), "{out}");
    assert_eq!(process.content(), first);
    fs::write(folder.join("10.ini"), settings("2")).expect("the file can be written");
    process.signal("-HUP");
    process.wait_for_log("are in force");
    assert_ne!(process.content(), first);
    let (code, out, _) = run(&["report", "--admin", &process.admin, "--key", "operate"]);
    assert_eq!(code, Some(0), "{out}");
    let (code, _, error) = run(&["status", "--admin", &process.admin, "--key", "wrong"]);
    assert_eq!(code, Some(1), "{error}");
    process.signal("-TERM");
    let status = process.child.wait().expect("the process ends");
    assert_eq!(status.code(), Some(0));
}

/// Guards against a host without a settings folder that receives no configuration, does
/// not report why it rejected one, or applies a rejected one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_fetches_its_configuration_from_the_platform() {
    let platform = platform::Platform::start(platform::Options::default());
    let publish = |revision, text: String| {
        platform.set_config(revision, [("10.ini".to_owned(), text)].into());
    };
    publish(4, settings("1"));
    let address = platform.address("host").expect("a port").to_string();
    let mut process = Process::with(&["--platform", &address]);
    process.wait_for_log("revision 4 is in force");
    publish(5, settings("9999"));
    process.wait_for_log("revision 5 is not applied");
    let (code, out, error) = run(&["status", "--admin", &process.admin, "--key", "operate"]);
    assert_eq!(code, Some(0), "{error}");
    for part in ["revision 4 in force", "revision 5 was refused: 10.ini:2"] {
        assert!(out.contains(part), "{part}: {out}");
    }
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("burn.svg");
    let file = file.display().to_string();
    let admin = ["--admin", &process.admin, "--key", "operate"];
    let image = ["--format", "svg", "--output", &file];
    let (code, _, error) = run(&[&["report"], &admin[..], &image[..]].concat());
    assert_eq!(code, Some(0), "{error}");
    let text = fs::read_to_string(&file).expect("the image can be read");
    assert!(text.starts_with("<svg"), "{text}");
    let (code, _, error) = run(&[&["explain", "--request", "none"], &admin[..]].concat());
    assert_eq!(code, Some(1), "{error}");
    assert!(error.contains("no decisions"), "{error}");
}

/// Guards against ids of requests that change the target of a query or make it invalid.
#[rstest]
#[case::blank("a b", "a%20b")]
#[case::field("a&request=b", "a%26request%3Db")]
#[case::fragment("a#b", "a%23b")]
#[case::plus("a+b", "a%2Bb")]
#[case::percent("a%62", "a%2562")]
#[case::quote("\"a\"", "%22a%22")]
fn explain_asks_for_the_request_with_this_id(#[case] id: &str, #[case] encoded: &str) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("address").to_string();
    let asked = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut target = String::new();
        let mut reader = io::BufReader::new(&stream);
        reader.read_line(&mut target).expect("a request");
        stream
            .write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
            .expect("an answer");
        target
    });
    let admin = ["--admin", &address, "--key", "operate"];
    let (code, _, error) = run(&[&["explain", "--request", id], &admin[..]].concat());
    assert_eq!(code, Some(1), "{error}");
    assert!(error.contains("404"), "the request was not sent: {error}");
    let target = asked.join().expect("a request");
    let wanted = format!("GET /admin/v1/explain?request={encoded} HTTP/1.1\r\n");
    assert_eq!(target, wanted);
}

/// Guards against commands that cannot query an administration API over TLS, or that
/// accept an untrusted certificate.
#[test]
fn status_is_read_over_tls() {
    let issued = rcgen::generate_simple_self_signed(["router.test".to_owned()]).expect("issues");
    let folder = folder("tls", &settings("1"));
    let (certificate, key) = (folder.join("cert.pem"), folder.join("key.pem"));
    fs::write(&certificate, issued.cert.pem()).expect("the file can be written");
    fs::write(&key, issued.signing_key.serialize_pem()).expect("the file can be written");
    let text = format!(
        "[tls]\ncertificate = {}\nkey = {}\n",
        certificate.display(),
        key.display()
    );
    fs::write(folder.join("20.ini"), text).expect("the file can be written");
    let process = Process::start(&folder);
    let certificate = certificate.display().to_string();
    let admin = ["--admin", &process.admin, "--key", "operate"];
    let trusted = ["--ca-file", &certificate, "--server-name", "router.test"];
    let (code, out, error) = run(&[&["status"], &admin[..], &trusted[..]].concat());
    assert_eq!(code, Some(0), "{out}{error}");
    // The certificate is not valid for the address.
    let (code, ..) = run(&[&["status"], &admin[..], &trusted[..2]].concat());
    assert_eq!(code, Some(1));
    let (code, ..) = run(&[&["status"], &admin[..]].concat());
    assert_eq!(code, Some(1));
}

/// Guards against error documentation that lacks a kind, or gives another status, run
/// state or advice than the program.
#[test]
fn the_error_documentation_lists_every_kind() {
    let page = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/errors.md");
    let page = fs::read_to_string(page).expect("the page can be read");
    for kind in answer::Kind::ALL {
        let entry = kind.entry();
        let start = format!(
            "| `{}` | {} | `{}` | {} |",
            entry.name,
            entry.status,
            entry.run_state.name(),
            match entry.advice {
                answer::Advice::Never => "never",
                answer::Advice::After => "after",
                answer::Advice::Elsewhere => "elsewhere",
            }
        );
        let found = page.lines().any(|line| line.starts_with(&start));
        assert!(found, "the page lacks a line that starts with {start}");
    }
}
