//! Assigns shards to members by rendezvous hashing.

use base::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the member that owns a shard.
#[must_use]
pub fn owner<'a>(shard: &wire::Shard, members: &'a [Name]) -> Option<&'a Name> {
    members.iter().max_by_key(|member| (score(shard, member), *member))
}

/// Returns the first `count` members in the order in which they would own a shard, owner included.
#[must_use]
pub fn successors(shard: &wire::Shard, members: &[Name], count: usize) -> Vec<Name> {
    let mut ranked: Vec<&Name> = members.iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse((score(shard, member), *member)));
    ranked.into_iter().take(count).cloned().collect()
}

fn score(shard: &wire::Shard, member: &Name) -> u64 {
    xxh3_64(format!("{shard}\0{member}").as_bytes())
}
