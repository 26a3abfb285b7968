//! A stand-in that runs as a process.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use fake::engine::Load;
use fake::journal;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::Error;
use crate::Launch;
use crate::Process;
use crate::RunDirectory;
use crate::exchange;

/// The binary of all stand-ins.
const BINARY: &str = "aspenline-fake";
/// How long a stand-in may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A running stand-in.
#[derive(Debug)]
pub struct FakeProcess {
    address: SocketAddr,
    /// The process.
    pub process: Process,
}

impl FakeProcess {
    /// Starts a stand-in: `args` begin with its kind, such as `engine`.
    ///
    /// # Errors
    /// Returns an error when it doesn't start.
    pub fn start<T: AsRef<str>>(
        directory: &RunDirectory,
        name: &str,
        args: &[T],
    ) -> Result<Self, Report<Error>> {
        let binary = directory.binary(BINARY)?;
        let launch = Launch::new(name, binary, directory.log(name));
        let launch = launch.args(args).args(&["--exit-with-stdin"]);
        let process = Process::start(&launch)?;
        let address = process.wait_until_ready(START_TIMEOUT)?.ready;
        Ok(Self { address, process })
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        self.process.name()
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives an order of the stand-in's control interface, such as `silent` with `{"on":true}`.
    ///
    /// # Errors
    /// Returns an error when it doesn't obey.
    pub async fn control<B: Serialize>(
        &self,
        name: &str,
        body: &B,
    ) -> Result<Value, Report<Error>> {
        exchange::put(self.address, &format!("/control/{name}"), body).await
    }

    /// Reads a document.
    ///
    /// # Errors
    /// Returns an error when it can't be read.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Error>> {
        exchange::get(self.address, path).await
    }

    /// Reads the journal of a runner.
    ///
    /// # Errors
    /// Returns an error when it can't be read.
    pub async fn journal(&self) -> Result<journal::Report, Report<Error>> {
        self.get("/control/journal").await
    }

    /// Reads the load report of a runner.
    ///
    /// # Errors
    /// Returns an error when it can't be read.
    pub async fn load(&self) -> Result<Load, Report<Error>> {
        self.get("/load").await
    }
}
