//! Tests of `members.rs`.

use super::*;

#[test]
fn the_operators_file_enables_or_disables_membership_or_is_rejected_in_one_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("membership.toml");
    assert!(
        !is_enabled(&path).expect("valid"),
        "a missing file disables it"
    );
    for (text, enabled) in [("enabled = true\n", true), ("enabled = false\n", false)] {
        std::fs::write(&path, text).expect("written");
        assert_eq!(is_enabled(&path).expect("valid"), enabled);
    }
    for invalid in [
        "enabled = 1\n",
        "enabled = true\nfanout = 3\n",
        "enabled =\n",
    ] {
        std::fs::write(&path, invalid).expect("written");
        let error = is_enabled(&path).expect_err("invalid").to_string();
        assert!(
            error.starts_with(&path.display().to_string()) && !error.contains('\n'),
            "{error}"
        );
    }
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/membership.toml");
    assert!(
        !is_enabled(&shipped).expect("valid"),
        "the shipped file must disable membership"
    );
    assert!(
        start(None, &[], 1).is_err()
            && start(Some("[::1]:7".parse().expect("an address")), &[], 1).is_err()
    );
}
