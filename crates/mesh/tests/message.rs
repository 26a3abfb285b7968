//! The codec of membership messages.

use mesh::State;
use mesh::Version;
use mesh::swim::Kind;
use mesh::swim::MESSAGE_LIMIT;
use mesh::swim::Malformed;
use mesh::swim::Message;
use mesh::swim::Suspicion;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

fn message(sequence: u64) -> Message {
    let version = Version { incarnation: 7, refutation: 1 };
    let suspicion = Some(Suspicion { version, state: State::Suspect });
    Message { version, suspicion, kind: Kind::Ping { sequence }, updates: Vec::new() }
}

#[test]
fn bytes_after_a_message_are_rejected() {
    let mut bytes = message(1).encode();
    bytes.push(0);
    assert_eq!(Message::decode(&bytes), Err(Malformed));
}

#[test]
fn a_message_over_the_limit_is_rejected() {
    let updates = Vec::new();
    let kind = Kind::Buckets { digests: vec![0; MESSAGE_LIMIT], wants_reply: false };
    let large = Message { kind, updates, ..message(1) };
    assert_eq!(Message::decode(&large.encode()), Err(Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20_261_203), ..ProptestConfig::default() })]

    #[test]
    fn a_message_decodes_to_itself(sequence in any::<u64>()) {
        let message = message(sequence);
        prop_assert_eq!(Message::decode(&message.encode()), Ok(message));
    }

    #[test]
    fn arbitrary_bytes_are_a_message_or_malformed(bytes in vec(any::<u8>(), 0..1_200)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert!(message.encode().len() <= bytes.len());
        }
    }

    #[test]
    fn a_corrupted_message_is_a_message_or_malformed(at in any::<usize>(), byte in any::<u8>()) {
        let mut bytes = message(300).encode();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert!(message.encode().len() <= bytes.len());
        }
    }
}
