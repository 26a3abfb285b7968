//! Checks across the fields of a configuration.

use std::hash::Hash;
use std::net::SocketAddr;

use base::Class;
use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::Configuration;
use super::Kind;
use super::Runner;
use super::Service;
use crate::document::Problem;
use crate::document::nearest;

/// Returns a problem for each field that contradicts another.
pub(super) fn problems(configuration: &Configuration) -> Vec<Problem> {
    let mut check = Check::new(configuration);
    check.zones();
    check.workspaces();
    check.services();
    check.problems
}

struct Check<'a> {
    configuration: &'a Configuration,
    zones: IndexMap<&'a Name, &'a Name>,
    problems: Vec<Problem>,
}

impl<'a> Check<'a> {
    fn new(configuration: &'a Configuration) -> Self {
        let zones = configuration.zones.iter().map(|zone| (&zone.name, &zone.region)).collect();
        Self { configuration, zones, problems: Vec::new() }
    }

    fn zones(&mut self) {
        let names = self.configuration.zones.iter().map(|zone| &zone.name);
        let located = names.enumerate().map(|(index, name)| (format!("/zones/{index}/name"), name));
        self.unique(located, "a name that no other zone has");
    }

    fn workspaces(&mut self) {
        let workspaces = &self.configuration.workspaces;
        let names = workspaces.iter().map(|workspace| &workspace.name).enumerate();
        let located = names.map(|(index, name)| (format!("/workspaces/{index}/name"), name));
        self.unique(located, "a name that no other workspace has");
        let tokens = workspaces.iter().enumerate().flat_map(|(index, workspace)| {
            let tokens = workspace.tokens_sha256.iter().enumerate();
            tokens
                .map(move |(at, token)| (format!("/workspaces/{index}/tokens_sha256/{at}"), token))
        });
        self.unique(tokens, "a digest that is used nowhere else");
    }

    fn services(&mut self) {
        let services = &self.configuration.services;
        let names = services.iter().map(|service| &service.name).enumerate();
        let located = names.map(|(index, name)| (format!("/services/{index}/name"), name));
        self.unique(located, "a name that no other service has");
        for (index, service) in services.iter().enumerate() {
            let pointer = format!("/services/{index}");
            self.region(&pointer, service);
            self.classes(&pointer, service);
            self.model_and_adapters(&pointer, service);
            for (index, runner) in service.runners.iter().enumerate() {
                self.runner(&format!("{pointer}/runners/{index}"), service, runner);
            }
        }
        self.runners();
    }

    fn runners(&mut self) {
        let services = self.configuration.services.iter().enumerate();
        let runners: Vec<(String, &Runner)> = services
            .flat_map(|(index, service)| {
                let runners = service.runners.iter().enumerate();
                runners.map(move |(at, runner)| (format!("/services/{index}/runners/{at}"), runner))
            })
            .collect();
        let names = runners.iter().map(|(at, runner)| (format!("{at}/name"), &runner.name));
        self.unique(names, "a name that no other runner has");
        let addresses =
            runners.iter().map(|(at, runner)| (format!("{at}/address"), runner.address));
        self.unique::<SocketAddr>(addresses, "an address that no other runner has");
    }

    fn region(&mut self, pointer: &str, service: &Service) {
        if self.zones.values().any(|region| **region == service.region) {
            return;
        }
        let regions: Vec<&Name> = self.zones.values().copied().collect();
        let suggestion = nearest(service.region.as_str(), &regions);
        let problem = Problem::new(&format!("{pointer}/region"), "the region of a zone");
        self.problems.push(problem.nearest(suggestion.as_deref()));
    }

    fn classes(&mut self, pointer: &str, service: &Service) {
        let classes = service.classes.iter().enumerate();
        let located = classes.map(|(index, class)| (format!("{pointer}/classes/{index}"), *class));
        self.unique(located.clone(), "each class once");
        for (pointer, class) in located {
            if !allowed_classes(service.kind).contains(&class) {
                let allowed = match service.kind {
                    Kind::Engine => "`interactive` or `long` for an engine",
                    Kind::Plain => "`lookup` or `once` for a plain service",
                };
                self.problems.push(Problem::new(&pointer, allowed));
            }
        }
    }

    fn model_and_adapters(&mut self, pointer: &str, service: &Service) {
        let adapters = service.adapters.iter().enumerate();
        let located = adapters.map(|(index, name)| (format!("{pointer}/adapters/{index}"), name));
        self.unique(located, "each adapter once");
        if service.kind == Kind::Plain && service.model.is_some() {
            self.problems
                .push(Problem::new(&format!("{pointer}/model"), "none for a plain service"));
        }
        if service.kind == Kind::Plain && !service.adapters.is_empty() {
            let pointer = format!("{pointer}/adapters");
            self.problems.push(Problem::new(&pointer, "none for a plain service"));
        }
    }

    fn runner(&mut self, pointer: &str, service: &Service, runner: &Runner) {
        let zone = format!("{pointer}/zone");
        match self.zones.get(&runner.zone) {
            None => {
                let zones: Vec<&Name> = self.zones.keys().copied().collect();
                let suggestion = nearest(runner.zone.as_str(), &zones);
                let problem = Problem::new(&zone, "the name of a zone");
                self.problems.push(problem.nearest(suggestion.as_deref()));
            }
            Some(region) if **region != service.region => {
                let allowed = format!("a zone of region `{}`, that of the service", service.region);
                self.problems.push(Problem::new(&zone, &allowed));
            }
            Some(_) => {}
        }
        if runner.cold_limit > runner.warm_limit {
            let allowed = format!("a whole number from 1 to {}, the warm limit", runner.warm_limit);
            self.problems.push(Problem::new(&format!("{pointer}/cold_limit"), &allowed));
        }
    }

    fn unique<K: Hash + Eq>(&mut self, keys: impl Iterator<Item = (String, K)>, allowed: &str) {
        let mut seen = IndexSet::new();
        for (pointer, key) in keys {
            if !seen.insert(key) {
                self.problems.push(Problem::new(&pointer, allowed));
            }
        }
    }
}

const fn allowed_classes(kind: Kind) -> [Class; 2] {
    match kind {
        Kind::Engine => [Class::Interactive, Class::Long],
        Kind::Plain => [Class::Lookup, Class::Once],
    }
}
