//! Help texts, exit codes of wrong usage, and completions.

mod common;

use common::run;

const COMMANDS: &str =
    "serve check apply zone instance status timeline explain config keys completions";

#[test]
fn help_lists_all_commands_and_exit_codes() {
    let help = run(&["--help"]);
    assert_eq!((help.code, help.error.as_str()), (Some(0), ""));
    for command in COMMANDS.split(' ') {
        assert!(help.output.contains(&format!("\n  {command} ")), "{command} is not listed");
    }
    for code in ["0  done", "1  failed", "2  wrong usage", "3  conflict", "4  no router"] {
        assert!(help.output.contains(&format!("\n  {code}")), "{code} is not listed");
    }
}

#[test]
fn the_help_of_each_command_has_an_example() {
    for command in COMMANDS.split(' ') {
        let arguments: &[&str] =
            if command == "config" { &["config", "show", "--help"] } else { &[command, "--help"] };
        let help = run(arguments);
        assert_eq!(help.code, Some(0), "{command}");
        assert!(help.output.contains(&format!("aspenline {command}")), "{command}");
        assert!(help.output.contains("Example"), "{command}");
    }
}

#[test]
fn wrong_usage_ends_with_code_2() {
    for arguments in [&[][..], &["srve"], &["check"], &["status"], &["zone", "off", "north-1"]] {
        assert_eq!(run(arguments).code, Some(2), "{arguments:?}");
    }
}

#[test]
fn completions_for_each_shell_contain_the_commands() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let script = run(&["completions", shell]);
        assert_eq!(script.code, Some(0), "{shell}");
        assert!(script.output.contains("timeline"), "{shell}");
    }
}
