//! What has arrived of a stream: its events, the incomplete one among them, and when.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;

use crate::buffer::Reservation;
use crate::sse;

/// Maximum size of an incomplete event that is held back, in bytes.
const MAX_PARTIAL_BYTES: usize = 1 << 20;
/// Maximum size of comments and empty lines between two events, in bytes.
const MAX_IDLE_BYTES: usize = 64 << 10;
/// Minimum number of events of an answer from which the time per token is measured.
const MIN_TIMED_EVENTS: u32 = 6;

/// What has arrived of a stream.
#[derive(Debug)]
pub(super) struct Progress {
    /// The incomplete event that is held back.
    partial: BytesMut,
    reservation: Reservation,
    /// Whether bytes have arrived that are no part of a stream.
    is_foreign: bool,
    last_event: Option<String>,
    /// The size of the comments and empty lines since the last event, in bytes.
    idle_bytes: usize,
    /// The time of the last sign that the runner makes progress.
    last_contact: Duration,
    /// The time of the first data of the present runner.
    first_at: Option<Duration>,
    /// The number of events of the present runner.
    events: u32,
    /// The time of the last events that were passed on.
    last_passed: Option<Duration>,
    /// The longest time between two events that were passed on.
    longest_pause: Duration,
}

impl Progress {
    /// Creates the state of a stream whose request was sent at `sent_at`.
    pub(super) fn new(sent_at: Duration, reservation: Reservation) -> Self {
        Self {
            partial: BytesMut::new(),
            reservation,
            is_foreign: false,
            last_event: None,
            idle_bytes: 0,
            last_contact: sent_at,
            first_at: None,
            events: 0,
            last_passed: None,
            longest_pause: Duration::ZERO,
        }
    }

    /// Begins anew with another runner, after the last complete event.
    pub(super) fn restart(&mut self, now: Duration) {
        self.drop_partial();
        self.is_foreign = false;
        self.idle_bytes = 0;
        self.last_contact = now;
        self.first_at = None;
        self.events = 0;
    }

    /// Records the arrival of data; returns whether it is the runner's first.
    pub(super) fn record_data(&mut self, now: Duration, bytes: &[u8]) -> bool {
        self.events += sse::count_events(bytes);
        if self.first_at.is_some() {
            return false;
        }
        self.first_at = Some(now);
        self.last_contact = now;
        true
    }

    /// Adds data to the incomplete event and returns the events that are complete, up to what is no part of a stream.
    ///
    /// Bytes of an incomplete event are no sign that the runner makes progress.
    pub(super) fn take_events(&mut self, now: Duration, bytes: Bytes) -> Bytes {
        let mut events = self.split_events(bytes);
        let length = sse::events_length(&events, self.last_event.as_deref());
        self.is_foreign |= length < events.len();
        events.truncate(length);
        if !events.is_empty() {
            self.last_contact = now;
            self.record_passed(now);
        }
        match sse::last_id(&events) {
            Some(id) => {
                self.last_event = Some(id.to_owned());
                self.idle_bytes = 0;
            }
            None => self.idle_bytes += events.len(),
        }
        self.is_foreign |= self.idle_bytes > MAX_IDLE_BYTES;
        events
    }

    fn record_passed(&mut self, now: Duration) {
        if let Some(last) = self.last_passed.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(last));
        }
    }

    /// Returns the longest time between two events that were passed on.
    pub(super) const fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    fn split_events(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && sse::complete_length(&bytes) == bytes.len() {
            return bytes;
        }
        // What came before has no complete event, so only an end that reaches into the new bytes can complete one.
        let searched = self.partial.len().saturating_sub(sse::TAIL_BYTES);
        self.partial.extend_from_slice(&bytes);
        let length = match sse::complete_length(&self.partial[searched..]) {
            0 => 0,
            length => searched + length,
        };
        self.partial.split_to(length).freeze()
    }

    /// Reserves memory for the incomplete event; returns `false` if it is too large.
    pub(super) fn reserve_partial(&mut self) -> bool {
        let bytes = self.partial.len();
        bytes <= MAX_PARTIAL_BYTES && self.reservation.resize(bytes)
    }

    /// Drops the incomplete event.
    pub(super) fn drop_partial(&mut self) {
        self.partial.clear();
        self.reservation.release();
    }

    /// Returns whether what has arrived ends between two events.
    pub(super) fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns whether bytes have arrived that are no part of a stream.
    pub(super) const fn is_foreign(&self) -> bool {
        self.is_foreign
    }

    /// Returns whether the present runner has sent any data.
    pub(super) const fn has_data(&self) -> bool {
        self.first_at.is_some()
    }

    /// Returns the time since the first data of the present runner.
    pub(super) fn data_for(&self, now: Duration) -> Option<Duration> {
        self.first_at.map(|first_at| now.saturating_sub(first_at))
    }

    /// Returns the time since the last sign that the runner makes progress.
    pub(super) const fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_contact)
    }

    /// Records that the runner's silence has been dealt with.
    pub(super) const fn forgive_silence(&mut self, now: Duration) {
        self.last_contact = now;
    }

    /// Returns the id of the last complete event.
    pub(super) fn last_event(&self) -> Option<String> {
        self.last_event.clone()
    }

    /// Returns the mean time per token of the present runner, if there were enough events to tell.
    pub(super) fn token_time(&self, event_tokens: u32) -> Option<Duration> {
        let first_at = self.first_at.filter(|_| self.events >= MIN_TIMED_EVENTS)?;
        let took = self.last_contact.saturating_sub(first_at);
        Some(took / ((self.events - 1) * event_tokens.max(1)))
    }
}
