//! Validation rules that involve more than one service.

use std::net::SocketAddrV4;

use crate::collections::FastMap;
use crate::config::partial::PartialService;
use crate::config::problem::{JsonPath, Problem, Violation};
use crate::ids::{ServiceName, ServiceTag};

/// The maximum number of names in the description of a dependency cycle. A cycle of thousands of
/// names would make the other problems hard to find.
const MAX_CYCLE_NAMES: usize = 12;

const SERVICES: JsonPath<'static> = JsonPath::ROOT.field("services");

/// Returns the problems that involve more than one service.
pub(crate) fn check(services: &[PartialService]) -> Vec<Problem> {
    let mut problems = Vec::new();
    let by_name = check_names(services, &mut problems);
    check_addresses(services, &mut problems);
    check_dependencies(services, &by_name, &mut problems);
    check_cycles(services, &by_name, &mut problems);
    problems
}

type ByName<'a> = FastMap<&'a ServiceName, usize>;

fn name_path(index: usize) -> Box<str> {
    SERVICES.item(index).field("name").to_string().into()
}

fn check_names<'a>(services: &'a [PartialService], problems: &mut Vec<Problem>) -> ByName<'a> {
    let mut by_name = ByName::default();
    let mut by_tag: FastMap<ServiceTag, (usize, &ServiceName)> = FastMap::default();
    for (index, service) in services.iter().enumerate() {
        let Some(name) = &service.name else { continue };
        let tag = ServiceTag::of(name);
        let violation = match (by_name.get(name), by_tag.get(&tag)) {
            (Some(first), _) => Violation::NameUsedTwice {
                name: name.clone(),
                first: name_path(*first),
            },
            (None, Some((first, other))) => Violation::TagCollision {
                tag,
                other: (*other).clone(),
                first: name_path(*first),
            },
            (None, None) => {
                by_name.insert(name, index);
                by_tag.insert(tag, (index, name));
                continue;
            }
        };
        by_name.entry(name).or_insert(index);
        problems.push(SERVICES.item(index).field("name").problem(violation));
    }
    by_name
}

fn check_addresses(services: &[PartialService], problems: &mut Vec<Problem>) {
    let mut first_use: FastMap<SocketAddrV4, (usize, usize)> = FastMap::default();
    for (index, service) in services.iter().enumerate() {
        for (item, address) in &service.addresses {
            let Some((service, first)) = first_use.insert(*address, (index, *item)) else {
                continue;
            };
            first_use.insert(*address, (service, first));
            let first = SERVICES
                .item(service)
                .field("addresses")
                .item(first)
                .to_string();
            let violation = Violation::AddressUsedTwice {
                first: first.into(),
            };
            let service_path = SERVICES.item(index);
            problems.push(
                service_path
                    .field("addresses")
                    .item(*item)
                    .problem(violation),
            );
        }
    }
}

fn check_dependencies(
    services: &[PartialService],
    by_name: &ByName<'_>,
    problems: &mut Vec<Problem>,
) {
    for (index, service) in services.iter().enumerate() {
        for (item, name) in &service.depends_on {
            if !by_name.contains_key(name) {
                let violation = Violation::UnknownDependency { name: name.clone() };
                let service_path = SERVICES.item(index);
                problems.push(
                    service_path
                        .field("depends_on")
                        .item(*item)
                        .problem(violation),
                );
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Visit {
    New,
    OnPath,
    Done,
}

/// Reports each dependency that closes a cycle. The depth-first search keeps its own stack, as a
/// chain of all services of a large text would overflow the call stack.
fn check_cycles(services: &[PartialService], by_name: &ByName<'_>, problems: &mut Vec<Problem>) {
    let mut visits = vec![Visit::New; services.len()];
    for start in 0..services.len() {
        if visits[start] != Visit::New {
            continue;
        }
        visits[start] = Visit::OnPath;
        let mut path = vec![(start, 0)];
        while let Some((index, next)) = path.last_mut() {
            let index = *index;
            let Some((item, name)) = services[index].depends_on.get(*next) else {
                visits[index] = Visit::Done;
                path.pop();
                continue;
            };
            *next += 1;
            let Some(&target) = by_name.get(name) else {
                continue;
            };
            match visits[target] {
                Visit::Done => {}
                Visit::New => {
                    visits[target] = Visit::OnPath;
                    path.push((target, 0));
                }
                Visit::OnPath => {
                    let cycle = describe_cycle(services, &path, target);
                    let service_path = SERVICES.item(index);
                    let violation = Violation::CircularDependency { cycle };
                    problems.push(
                        service_path
                            .field("depends_on")
                            .item(*item)
                            .problem(violation),
                    );
                }
            }
        }
    }
}

fn describe_cycle(services: &[PartialService], path: &[(usize, usize)], target: usize) -> Box<str> {
    let on_cycle = path.iter().map(|(index, _)| *index);
    let mut names: Vec<_> = on_cycle
        .skip_while(|index| *index != target)
        .chain([target])
        .filter_map(|index| services[index].name.as_ref())
        .map(ServiceName::as_str)
        .collect();
    if names.len() > MAX_CYCLE_NAMES {
        names.splice(MAX_CYCLE_NAMES - 1..names.len() - 1, ["..."]);
    }
    names.join(" -> ").into()
}
