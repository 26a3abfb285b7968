//! The calls that a caller sends.

use std::time::Duration;

use base::Class;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::request::Builder;
use http_body_util::Full;
use serde_json::json;
use uuid::Uuid;

/// The default timeout for a complete answer.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// The prompt of a model call, from which the expected answer is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The text.
    pub text: String,
    /// The number of tokens to generate.
    pub max_tokens: u32,
}

/// One call to a service.
#[derive(Debug, Clone)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) service: String,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) class: Option<Class>,
    pub(crate) key: Option<String>,
    pub(crate) cost_hint: Option<u64>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) timeout: Duration,
    pub(crate) hang_up_after: Option<u32>,
    pub(crate) prompt: Option<Prompt>,
}

impl Call {
    /// Creates a call with a method and a path.
    #[must_use]
    pub fn new(method: Method, service: &str, path: &str) -> Self {
        Self {
            method,
            service: service.to_owned(),
            path: path.trim_start_matches('/').to_owned(),
            body: Bytes::new(),
            class: None,
            key: None,
            cost_hint: None,
            deadline: None,
            timeout: DEFAULT_TIMEOUT,
            hang_up_after: None,
            prompt: None,
        }
    }

    /// Creates a streamed model call.
    #[must_use]
    pub fn completion(service: &str, text: &str, max_tokens: u32) -> Self {
        let body = json!({ "prompt": text, "max_tokens": max_tokens, "stream": true });
        let prompt = Prompt { text: text.to_owned(), max_tokens };
        let call = Self::new(Method::POST, service, "v1/completions").body(body.to_string());
        Self { prompt: Some(prompt), ..call }
    }

    /// Creates a lookup, which is an idempotent `GET` call.
    #[must_use]
    pub fn lookup(service: &str, path: &str) -> Self {
        Self::new(Method::GET, service, path)
    }

    /// Creates a call that must run at most once, with a new idempotency key.
    #[must_use]
    pub fn non_idempotent(service: &str, path: &str, body: &str) -> Self {
        let call = Self::new(Method::POST, service, path).body(body.to_owned());
        call.key(&Uuid::now_v7().to_string())
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the class instead of the default one.
    #[must_use]
    pub const fn class(mut self, class: Class) -> Self {
        self.class = Some(class);
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the expected cost.
    #[must_use]
    pub const fn cost_hint(mut self, cost: u64) -> Self {
        self.cost_hint = Some(cost);
        self
    }

    /// Sets the maximum time to wait for a runner.
    #[must_use]
    pub const fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the timeout for the complete answer.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Makes the caller close the connection after a number of tokens.
    #[must_use]
    pub const fn hang_up_after(mut self, tokens: u32) -> Self {
        self.hang_up_after = Some(tokens);
        self
    }

    /// Returns the idempotency key.
    #[must_use]
    pub fn idempotency_key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// Returns the class that the fleet assigns to the call.
    #[must_use]
    pub fn effective_class(&self) -> Class {
        let default_class = match (&self.prompt, self.method == Method::GET) {
            (Some(_), _) => Class::Interactive,
            (None, true) => Class::Lookup,
            (None, false) => Class::Once,
        };
        self.class.unwrap_or(default_class)
    }

    /// Builds the HTTP request with a path prefix, such as `/v1/services/chat`.
    pub(crate) fn request(
        &self,
        host: &str,
        prefix: &str,
        token: &str,
    ) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("{prefix}/{}", self.path))
            .header(http::header::HOST, host)
            .header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        builder = add_header(builder, "idempotency-key", self.key.as_ref());
        builder = add_header(builder, "aspenline-class", self.class.as_ref());
        builder = add_header(builder, "aspenline-cost-hint", self.cost_hint.as_ref());
        let deadline = self.deadline.map(|deadline| deadline.as_millis());
        builder = add_header(builder, "aspenline-deadline-ms", deadline.as_ref());
        builder.body(Full::new(self.body.clone())).ok()
    }
}

fn add_header<T: ToString>(builder: Builder, name: &str, value: Option<&T>) -> Builder {
    match value {
        Some(value) => builder.header(name, value.to_string()),
        None => builder,
    }
}
