//! Reading of bodies, however they are split.

use std::convert::Infallible;

use budget::Budget;
use budget::Class;
use budget::Limits;
use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::Full;
use http_body_util::StreamBody;
use proptest::prelude::*;
use relay::BodyError;
use tokio::runtime;

/// The largest body that is allowed, in bytes.
const LIMIT: usize = 200 << 10;
/// The memory of a body of this size: two buffers of its connection, its head and itself.
const MEMORY_BYTES: usize = LIMIT + (16 << 10) + (96 << 10) + (64 << 10);

fn budget() -> Budget {
    Budget::new(Limits { total: MEMORY_BYTES, reserved: 0, answers: 0, small: 0 })
}

/// Returns a body of pieces of these sizes without a length, and its bytes.
fn pieces(sizes: &[usize]) -> (Vec<u8>, Vec<Result<Frame<Bytes>, Infallible>>) {
    let bytes: Vec<u8> = (0..sizes.iter().sum::<usize>()).map(|index| index as u8).collect();
    let mut rest = Bytes::from(bytes.clone());
    let frames = sizes.iter().map(|size| Ok(Frame::data(rest.split_to(*size)))).collect();
    (bytes, frames)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against bytes that are lost or doubled between two pieces, and against memory that is not counted.
    #[test]
    fn a_body_in_any_pieces_is_read_whole_and_counted(
        sizes in prop::collection::vec(prop_oneof![0..3_usize, 0..5_000_usize, 0..70_000_usize], 0..40),
    ) {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let (bytes, frames) = pieces(&sizes);
        let budget = budget();
        let memory = budget.reservation(1, Class::Incomplete);
        let body = StreamBody::new(stream::iter(frames));
        let read = runtime.block_on(relay::read_body(body, LIMIT, &memory));
        if bytes.len() > LIMIT {
            prop_assert_eq!(read, Err(BodyError::TooLarge));
        } else {
            let read = read.expect("a body within the limit");
            prop_assert_eq!(&read, &bytes);
            prop_assert!(memory.bytes() >= bytes.len());
        }
        drop(memory);
        prop_assert_eq!(budget.figures().held, 0);
    }
}

/// Guards against a body that is read although its announced length is over the limit.
#[test]
fn an_announced_body_over_the_limit_takes_no_memory() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let budget = budget();
    let memory = budget.reservation(1, Class::Incomplete);
    let body = Full::new(Bytes::from(vec![0; LIMIT + 1]));
    let read = runtime.block_on(relay::read_body(body, LIMIT, &memory));
    assert_eq!(read, Err(BodyError::TooLarge));
    assert_eq!(budget.figures().peak, 0);
}
