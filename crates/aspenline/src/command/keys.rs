//! `keys`: creates authorities, router keys and digests of tokens.

use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;

use base::Name;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use mesh::issue;
use mesh::issue::Authority;

use crate::failure::Failure;
use crate::input;
use crate::output;

/// The file mode of a private key.
const KEY_FILE_MODE: u32 = 0o600;
/// The file mode of a certificate.
const CERTIFICATE_FILE_MODE: u32 = 0o644;
/// The default name of an authority.
const DEFAULT_AUTHORITY_NAME: &str = "aspenline";

/// Returns the command.
pub(crate) fn command() -> Command {
    Command::new("keys")
        .about("Creates keys for routers and digests of tokens")
        .after_help(
            "Examples:\n  aspenline keys authority --directory keys\n  \
             aspenline keys issue r1 --directory keys\n  \
             printf %s \"$TOKEN\" | aspenline keys digest",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("authority")
                .about("Creates an authority: authority.pem and authority-key.pem")
                .arg(directory())
                .arg(authority_name()),
        )
        .subcommand(
            Command::new("issue")
                .about("Creates the keys of a router: NAME.pem and NAME-key.pem")
                .arg(Arg::new("name").value_name("NAME").required(true).help("The router's name"))
                .arg(directory())
                .arg(authority_name()),
        )
        .subcommand(
            Command::new("digest").about("Prints the digest of a token, as files hold it").arg(
                Arg::new("token")
                    .value_name("TOKEN")
                    .help("The token [default: the first line of standard input]"),
            ),
        )
}

fn directory() -> Arg {
    Arg::new("directory")
        .long("directory")
        .value_name("DIRECTORY")
        .value_parser(value_parser!(PathBuf))
        .default_value(".")
        .help("Where the files of the authority and of routers are")
}

fn authority_name() -> Arg {
    Arg::new("authority-name")
        .long("authority-name")
        .value_name("NAME")
        .default_value(DEFAULT_AUTHORITY_NAME)
        .help("The name in the authority's certificate")
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    match name {
        "authority" => create_authority(matches),
        "issue" => issue_router_keys(matches),
        _ => print_digest(matches),
    }
}

fn create_authority(matches: &ArgMatches) -> Result<(), Failure> {
    let directory = directory_of(matches);
    let created = issue::authority(authority_of(matches));
    let authority = created.map_err(|report| Failure::Failed(format!("{report:#}")))?;
    let key = directory.join("authority-key.pem");
    let certificate = directory.join("authority.pem");
    write_new_file(&key, &authority.key_pem, KEY_FILE_MODE)?;
    write_new_file(&certificate, &authority.certificate_pem, CERTIFICATE_FILE_MODE)?;
    output::text(&format!("wrote {} and {}", certificate.display(), key.display()))
}

fn issue_router_keys(matches: &ArgMatches) -> Result<(), Failure> {
    let directory = directory_of(matches);
    let name = Name::new(matches.get_one::<String>("name").expect("clap requires the name"));
    let authority = Authority {
        name: authority_of(matches).to_owned(),
        certificate_pem: input::read_file(&directory.join("authority.pem"))?,
        key_pem: input::read_file(&directory.join("authority-key.pem"))?,
    };
    let issued = issue::member(&authority, &name);
    let identity = issued.map_err(|report| Failure::Failed(format!("{report:#}")))?;
    identity.check(&name).map_err(|report| Failure::Invalid(format!("{report:#}")))?;
    let key = directory.join(format!("{name}-key.pem"));
    let certificate = directory.join(format!("{name}.pem"));
    write_new_file(&key, &identity.key_pem, KEY_FILE_MODE)?;
    write_new_file(&certificate, &identity.certificate_pem, CERTIFICATE_FILE_MODE)?;
    output::text(&format!("wrote {} and {}", certificate.display(), key.display()))
}

fn print_digest(matches: &ArgMatches) -> Result<(), Failure> {
    let token = match matches.get_one::<String>("token") {
        Some(token) => token.clone(),
        None => first_input_line()?,
    };
    if token.is_empty() {
        return Err(Failure::Invalid("the token is empty".to_owned()));
    }
    output::text(&conf::digest(&token))
}

fn first_input_line() -> Result<String, Failure> {
    let mut line = String::new();
    io::stdin()
        .read_line(&mut line)
        .map_err(|error| Failure::Invalid(format!("can't read standard input: {error}")))?;
    Ok(line.trim_end_matches(['\n', '\r']).to_owned())
}

fn directory_of(matches: &ArgMatches) -> &Path {
    matches.get_one::<PathBuf>("directory").expect("clap has a default")
}

fn authority_of(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("authority-name").expect("clap has a default")
}

/// Writes a new file and fails if it exists.
fn write_new_file(path: &Path, text: &str, mode: u32) -> Result<(), Failure> {
    let opened = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    opened
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| Failure::Failed(format!("can't write {}: {error}", path.display())))
}
