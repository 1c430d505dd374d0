//! Exit codes, messages and help texts of runs without a store or deployment.

use expect_test::expect;

use super::{file, run, text_of};
use crate::common::VALVES;

/// Guards against invalid input that is accepted, results in another exit code, or whose message
/// does not name the invalid part.
#[tokio::test]
async fn wrong_input_ends_with_exit_code_2() {
    let good = file("good.json", VALVES);
    let good = text_of(&good);
    let no_keys = file("no-keys.json", "{}");
    let no_keys = text_of(&no_keys);
    let endpoint = [
        "--service",
        "matcher",
        "--address",
        "127.0.0.1:9",
        "--ca",
        good,
        "--tenant",
        "t",
    ];
    let with = |verb: &[&'static str]| [verb, &endpoint].concat();
    let cases: Vec<(Vec<&str>, &str)> = vec![
        (vec![], "no verb"),
        (vec!["--fast"], "\"--fast\""),
        (vec!["cook"], "unknown verb 'cook'"),
        (vec!["check"], "a FILE is missing"),
        (vec!["check", "/absent.json"], "/absent.json"),
        (vec!["check", good, "--fast"], "\"--fast\""),
        (vec!["check", good, good], "unknown argument"),
        (vec!["diff", good], "either --store or two files"),
        (vec!["apply", good, "--store", "127.0.0.1:9"], "--revision"),
        (vec!["apply", good, "--revision", "x"], "--revision"),
        (
            vec!["apply", good, "--revision", "1", "--store", "[::1]:9"],
            "--store",
        ),
        (
            vec!["evacuate", "--store", "127.0.0.1:9"],
            "a DOMAIN is missing",
        ),
        (vec!["evacuate", "rs-sul"], "--store"),
        (
            vec!["evacuate", "rs/sul", "--store", "127.0.0.1:9"],
            "failure domain",
        ),
        (
            vec!["evacuate", "rs-sul", "--store", "127.0.0.1:9", "--stop"],
            "\"--stop\"",
        ),
        (vec!["status"], "--store or --control"),
        (
            vec!["status", "--control", "127.0.0.1:9"],
            "must be given together",
        ),
        (
            vec!["status", "--control", "127.0.0.1:9", "--key-file", no_keys],
            "no-keys.json",
        ),
        (vec!["demo", "--deployment", "tubes"], "valves or buttons"),
        (vec!["demo", "--seed", "-1"], "--seed"),
        (with(&["order"]), "one of --body, --key and --ask"),
        (with(&["order", "--ask", "cp1.7f"]), "not a ticket"),
        (
            with(&["order", "--key", "k", "--deadline-ms", "0"]),
            "86400000",
        ),
        (with(&["order", "--key", "k"]), "no certificate found"),
        (with(&["upload"]), "a FILE is missing"),
        (with(&["feed", "--count", "many"]), "--count"),
        (
            with(&["proxy", "--listen", "0.0.0.0:0"]),
            "only accepts loopback addresses",
        ),
    ];
    for (arguments, expected) in cases {
        let run = run(&arguments).await;
        assert_eq!(run.code, Some(2), "{arguments:?}: {run:?}");
        assert!(run.stderr.contains(expected), "{arguments:?}: {run:?}");
        assert_eq!(run.stdout, "", "{arguments:?}");
    }
}

/// Guards against an error that hides later errors, or is reported without its position.
#[tokio::test]
async fn check_reports_every_error_with_its_place() {
    let wrong = VALVES
        .replacen("\"slots\": 4", "\"slots\": 0", 1)
        .replacen("127.0.0.1:7102", "127.0.0.1:7101", 1)
        .replacen(
            "\"depends_on\": [\"matcher\"]",
            "\"depends_on\": [\"mixer\"]",
            1,
        );
    let wrong = file("wrong-text.json", wrong);
    let run = run(&["check", text_of(&wrong)]).await;
    run.assert_code(2);
    let errors: Vec<_> = run.stderr.lines().collect();
    assert_eq!(errors.len(), 3, "{run:?}");
    for (place, rule) in [
        ("services[0].slots", "limit of zero"),
        ("services[1].addresses[0]", "already used"),
        ("services[1].depends_on[0]", "'mixer'"),
    ] {
        let is_it = |line: &&str| line.contains(place) && line.contains(rule);
        assert!(errors.iter().any(is_it), "{place}: {run:?}");
    }
}

/// Guards against help texts that are missing, printed on stderr, or without the exit codes.
#[tokio::test]
#[expect(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes the texts in this form"
)]
async fn help_is_a_result() {
    for verb in [
        "demo", "check", "diff", "apply", "evacuate", "status", "explain", "feed", "order",
        "upload", "proxy",
    ] {
        let run = run(&[verb, "--help"]).await;
        run.assert_code(0);
        assert!(run.stdout.contains("Exit codes:\n  0  "), "{run:?}");
        assert!(
            run.stdout
                .contains(&format!("Usage: cranberrypitch {verb}"))
        );
        assert!(run.stdout.lines().all(|line| line.len() <= 100), "{run:?}");
    }
    let version = run(&["--version"]).await;
    assert_eq!(
        version.stdout,
        concat!("cranberrypitch ", env!("CARGO_PKG_VERSION"), "\n")
    );
    let help = run(&["--help"]).await;
    help.assert_code(0);
    expect![[r#"
        Operates cranberrypitch and calls its services.

        Usage: cranberrypitch VERB [OPTIONS]

        Verbs:
          demo     runs all components on loopback, replaces and drains some under load
          check    reports every error of a configuration text
          diff     shows what a configuration text changes
          apply    puts a configuration text in force
          evacuate keeps new flows out of a failure domain, or ends that
          status   shows the configuration in force and the live balancers
          explain  shows the path of a request or flow from the logs of the daemons
          feed     prints the readings of a feed
          order    places an order, or queries the outcome of an earlier one
          upload   uploads a file and prints its confirmed SHA-256
          proxy    accepts requests over plain TCP on a local port

        Options:
          --help     prints this text, or that of a verb
          --version  prints the version

        Results go to stdout, errors to stderr.

        Exit codes:
          0  done
          1  failed or not accepted
          2  invalid arguments, settings or text
          3  outcome unknown
    "#]]
    .assert_eq(&help.stdout);
    let check = run(&["check", "--help"]).await;
    expect![[r#"
        Reports every error of a configuration text with its position.

        Usage: cranberrypitch check FILE [--json]

        Options:
          --json  prints one JSON object
          --help  prints this text

        Exit codes:
          0  the text is valid
          2  invalid arguments, or the text breaks a rule
    "#]]
    .assert_eq(&check.stdout);
}
