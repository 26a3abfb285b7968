//! The `keys` command: keys of authorities and routers, and digests of tokens.

mod common;

use std::fs;
use std::os::unix::fs::PermissionsExt;

use common::directory;
use common::run;
use common::run_with_input;
use common::text;

const DIGEST: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n";

#[test]
fn issued_keys_are_usable_and_private() {
    let path = directory("issued-keys");
    let path_text = text(&path);
    assert_eq!(run(&["keys", "authority", "--directory", path_text]).code, Some(0));
    assert_eq!(run(&["keys", "issue", "r1", "--directory", path_text]).code, Some(0));
    let certificate = fs::read_to_string(path.join("r1.pem")).expect("the certificate is there");
    let key = fs::read_to_string(path.join("r1-key.pem")).expect("the key is there");
    let trust = fs::read_to_string(path.join("authority.pem")).expect("the authority is there");
    let identity =
        mesh::Identity { certificate_pem: certificate, key_pem: key, trust_pem: vec![trust] };
    identity.check(&base::Name::new("r1")).expect("the keys are usable");
    for private in ["authority-key.pem", "r1-key.pem"] {
        let mode = fs::metadata(path.join(private)).expect("the key is there").permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{private}");
    }
}

#[test]
fn a_file_that_exists_is_not_replaced() {
    let path = directory("existing-keys");
    let path_text = text(&path);
    assert_eq!(run(&["keys", "authority", "--directory", path_text]).code, Some(0));
    let before = fs::read_to_string(path.join("authority.pem")).expect("the authority is there");
    assert_eq!(run(&["keys", "authority", "--directory", path_text]).code, Some(1));
    let after = fs::read_to_string(path.join("authority.pem")).expect("the authority is there");
    assert_eq!(before, after);
}

#[test]
fn keys_issued_under_a_wrong_authority_name_are_not_written() {
    let path = directory("wrong-authority-name");
    let path_text = text(&path);
    assert_eq!(run(&["keys", "authority", "--directory", path_text]).code, Some(0));
    let issue = ["keys", "issue", "r1", "--directory", path_text, "--authority-name", "other"];
    assert_eq!(run(&issue).code, Some(2));
    assert!(!path.join("r1-key.pem").exists());
}

#[test]
fn the_digest_is_that_of_the_argument_or_of_the_first_input_line() {
    assert_eq!(run(&["keys", "digest", "secret"]).output, DIGEST);
    assert_eq!(run_with_input(&["keys", "digest"], "secret\n").output, DIGEST);
    assert_eq!(run_with_input(&["keys", "digest"], "\n").code, Some(2));
}
