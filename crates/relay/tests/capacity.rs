//! The division of memory and descriptors on the smallest instances.

use budget::Budget;
use budget::Class;
use budget::Limits;
use relay::Capacity;

/// The size of the largest body that the platform allows, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// What a large body holds besides itself, in bytes.
const OVERHEAD_BYTES: usize = 112 << 10;

/// Guards against a division that leaves no room for a single body of the largest size, or for ordinary connections.
#[test]
fn the_smallest_instances_have_room_for_ordinary_clients() {
    for (memory_mb, descriptors, callers) in [(48, 128, 48), (88, 3_000, 1_000)] {
        let capacity = Capacity::with(memory_mb << 20, descriptors);
        assert!(capacity.callers >= callers, "{memory_mb} MiB: {capacity:?}");
        assert!(capacity.side > 0 && capacity.idle > 0, "{memory_mb} MiB: {capacity:?}");
        let used = 2 * capacity.callers + capacity.idle + 4 * capacity.side;
        assert!(used < descriptors, "{memory_mb} MiB: {used} descriptors");
        let budget = Budget::new(Limits::of(capacity.held_bytes));
        let body = budget.reservation(1, Class::Incomplete);
        assert!(body.try_grow(BODY_BYTES + OVERHEAD_BYTES), "{memory_mb} MiB: {capacity:?}");
    }
}
