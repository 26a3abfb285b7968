//! A test fake that runs as a child process.

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

/// The binary of all fakes.
const BINARY: &str = "aspenline-fake";
/// The timeout for the start of a fake.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A running fake of a runner, of the platform or of the network.
#[derive(Debug)]
pub struct FakeProcess {
    address: SocketAddr,
    /// The process.
    pub process: Process,
}

impl FakeProcess {
    /// Starts a fake; `args` begin with its kind, such as `engine`.
    ///
    /// # Errors
    /// Returns an error if it doesn't become ready.
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

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request to the control interface of the fake, such as `silent` with `{"on":true}`.
    ///
    /// # Errors
    /// Returns an error if the fake doesn't answer or refuses the request.
    pub async fn control<B: Serialize>(
        &self,
        name: &str,
        body: &B,
    ) -> Result<Value, Report<Error>> {
        exchange::put(self.address, &format!("/control/{name}"), body).await
    }

    /// Returns a JSON document of the fake.
    ///
    /// # Errors
    /// Returns an error if it can't be read.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Error>> {
        exchange::get(self.address, path).await
    }

    /// Returns the journal of a runner.
    ///
    /// # Errors
    /// Returns an error if it can't be read.
    pub async fn journal(&self) -> Result<journal::Report, Report<Error>> {
        self.get("/control/journal").await
    }

    /// Returns the load report of a runner.
    ///
    /// # Errors
    /// Returns an error if it can't be read.
    pub async fn load(&self) -> Result<Load, Report<Error>> {
        self.get("/load").await
    }
}
