//! The configuration of a fleet and the stream of the log that stores it.

use error_stack::Report;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::Error;
use crate::Fleet;
use crate::exchange;

/// The stream of the log that stores configurations.
const CONFIG_STREAM: &str = "config";

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct LogRecord {
    offset: u64,
    body: String,
}

#[derive(Deserialize)]
struct Page {
    first: u64,
    records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Fleet {
    /// Returns the configuration that was published last, or the initial one.
    #[must_use]
    pub const fn config(&self) -> &Value {
        &self.config
    }

    /// Publishes a configuration based on the version in force and returns its version.
    ///
    /// # Errors
    /// Returns an error if the log can't be read or written.
    pub async fn publish_config(&mut self, config: &Value) -> Result<u64, Report<Error>> {
        let page = self.page(CONFIG_STREAM).await?;
        let is_trimmed = page.first > 1;
        let mut chain = if is_trimmed { conf::Chain::trimmed() } else { conf::Chain::new() };
        for record in &page.records {
            chain.feed(record.offset, &record.body);
        }
        let change = json!({ "base": chain.number(), "text": config.to_string() });
        let path = format!("/streams/{CONFIG_STREAM}/records");
        let appended: Appended = exchange::post(self.platform.address(), &path, &change).await?;
        self.config = config.clone();
        Ok(conf::Version::number_at(appended.offset))
    }

    /// Returns the bodies of all retained records of a stream of the log.
    ///
    /// # Errors
    /// Returns an error if the log can't be read.
    pub async fn records(&self, stream: &str) -> Result<Vec<String>, Report<Error>> {
        let page = self.page(stream).await?;
        Ok(page.records.into_iter().map(|record| record.body).collect())
    }

    /// Reads the page of all retained records of a stream.
    async fn page(&self, stream: &str) -> Result<Page, Report<Error>> {
        let bounds: Value = self.platform.get(&format!("/streams/{stream}")).await?;
        let path = format!("/streams/{stream}/records?from={}", bounds["first"]);
        self.platform.get(&path).await
    }
}
