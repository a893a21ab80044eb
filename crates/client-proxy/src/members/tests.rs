//! Tests of `members.rs`.

use super::*;

#[test]
fn the_operators_file_turns_membership_on_off_or_is_told_wrong_in_one_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("membership.toml");
    assert_eq!(enabled(&path), Ok(false), "no file: off");
    for (text, on) in [("enabled = true\n", true), ("enabled = false\n", false)] {
        std::fs::write(&path, text).expect("written");
        assert_eq!(enabled(&path), Ok(on));
    }
    for bad in [
        "enabled = 1\n",
        "enabled = true\nfanout = 3\n",
        "enabled =\n",
    ] {
        std::fs::write(&path, bad).expect("written");
        let said = enabled(&path).expect_err("wrong");
        assert!(
            said.starts_with(&path.display().to_string()) && !said.contains('\n'),
            "{said}"
        );
    }
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/membership.toml");
    assert_eq!(
        enabled(&shipped),
        Ok(false),
        "the shipped file keeps it off in run"
    );
    assert!(
        start(None, &[], 1).is_err()
            && start(Some("[::1]:7".parse().expect("an address")), &[], 1).is_err()
    );
}
