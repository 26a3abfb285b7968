//! Routes of requests, and access to them.

use std::time::Duration;

use balance::Access;
use balance::Denied;
use balance::Kind;
use balance::Route;
use balance::Split;
use balance::Table;
use base::Name;
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: Name::new(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        attempts: 2,
        priority: 1,
        public,
        splits: vec![
            Split { service: Name::new("new"), weight: 10 },
            Split { service: Name::new("old"), weight: 90 },
        ],
    }
}

fn table() -> Table {
    let mut table = Table::default();
    table.add_route(route("short", "a.example", "/a/", true));
    table.add_route(route("long", "a.example", "/a/b/", false));
    table.add_route(route("other", "b.example", "/", true));
    table.add_workspace(&Name::new("wall"), ["key-1".to_owned(), "key-2".to_owned()], None);
    table
}

fn name(table: &Table, host: &str, path: &str) -> Option<String> {
    table.route(host, path).ok().map(|route| route.name.to_string())
}

#[test]
fn the_route_with_the_longest_prefix_of_the_host_is_chosen() {
    let table = table();
    assert_eq!(name(&table, "a.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name(&table, "A.EXAMPLE:80", "/a/x").as_deref(), Some("short"));
    assert_eq!(name(&table, "b.example", "/a/x").as_deref(), Some("other"));
    assert_eq!(name(&table, "a.example", "/b/"), None);
    assert_eq!(name(&table, "c.example", "/a/"), None);
}

#[test]
fn a_key_gives_access_to_routes_for_its_workspace_only() {
    let table = table();
    let long = table.route("a.example", "/a/b/").expect("a route");
    assert_eq!(table.access(long, Some("key-2")), Ok(Access::Workspace(Name::new("wall"))));
    assert_eq!(table.access(long, Some("key-3")), Err(Denied::UnknownKey));
    assert_eq!(table.access(long, None), Err(Denied::UnknownKey));
    let short = table.route("a.example", "/a/").expect("a route");
    assert_eq!(table.access(short, None), Ok(Access::Public));
}

#[test]
fn a_workspace_without_keys_still_makes_keys_required() {
    let mut table = Table::default();
    table.add_route(route("long", "a.example", "/", false));
    table.add_workspace(&Name::new("wall"), [], None);
    let route = table.route("a.example", "/").expect("a route");
    assert_eq!(table.access(route, Some("key-1")), Err(Denied::UnknownKey));
}

/// Guards against a configuration whose list of workspaces is empty, which must not open its routes.
#[test]
fn keys_are_required_without_any_workspace() {
    let mut table = Table::default();
    table.add_route(route("long", "a.example", "/", false));
    let open = table.access(table.route("a.example", "/").expect("a route"), Some("key-1"));
    assert_eq!(open, Ok(Access::Public));
    table.require_keys();
    let closed = table.access(table.route("a.example", "/").expect("a route"), Some("key-1"));
    assert_eq!(closed, Err(Denied::UnknownKey));
}

proptest! {
    #[test]
    fn requests_are_split_by_weight(seed: u64) {
        let route = route("short", "a.example", "/a/", true);
        let new = (0..10_000u64)
            .filter(|number| {
                let hash = (seed ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                route.service(hash >> 16).is_some_and(|service| service.as_str() == "new")
            })
            .count();
        prop_assert!((800..1_200).contains(&new), "{new}");
    }
}
