//! Parses and validates a configuration text, and collects all its problems.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use crate::collections::FastSet;
use crate::config::node::Node;
use crate::config::partial::{Limits, PartialService, sorted_items};
use crate::config::problem::{JsonPath, Problem, Problems, Violation};
use crate::config::rules;
use crate::config::text::{ClassLimits, ConfigText, Deployment, ServiceConfig};
use crate::request::RequestClass;
use crate::units::{ByteSize, ConnectionLimit, QueueLimit, Slots};

const SLOTS: RangeInclusive<u64> = 1..=65_535;
const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;
const QUEUE_PER_ORGANISATION: RangeInclusive<u64> = 1..=100_000;
const BODY_LIMIT_BYTES: RangeInclusive<u64> = 1..=1 << 30;

/// The maximum length of a list of a service. It bounds the size of a shard, as a service is always
/// in a single shard.
const MAX_ITEMS: u64 = 4096;

const TEXT_FIELDS: [&str; 4] = ["deployment", "region", "failure_domains", "services"];
const SERVICE_FIELDS: [&str; 6] = [
    "name",
    "addresses",
    "depends_on",
    "slots",
    "connections",
    "classes",
];
const CLASS_FIELDS: [&str; 4] = [
    "repeatable",
    "deadline_ms",
    "queue_per_tenant",
    "body_limit_bytes",
];

type Fields<'a> = &'a [(Box<str>, Node)];

impl ConfigText {
    /// Parses and validates a text, or returns all its problems.
    pub fn parse(json: &str) -> Result<Self, Problems> {
        read(json)
    }
}

fn read(json: &str) -> Result<ConfigText, Problems> {
    let root: Node = serde_json::from_str(json).map_err(|e| {
        let detail = e.to_string().into();
        Problems(vec![JsonPath::ROOT.problem(Violation::Syntax { detail })])
    })?;
    let mut reader = Reader::default();
    let (deployment, services) = reader.parse_text(&root);
    reader.problems.extend(rules::check(&services));
    let services: Vec<_> = services
        .into_iter()
        .filter_map(PartialService::into_service)
        .collect();
    match deployment {
        Some(deployment) if reader.problems.is_empty() => Ok(sorted_text(deployment, services)),
        _ => Err(Problems(reader.problems)),
    }
}

fn sorted_text(deployment: Deployment, mut services: Vec<ServiceConfig>) -> ConfigText {
    services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    ConfigText {
        deployment,
        services,
    }
}

#[derive(Debug, Default)]
struct Reader {
    problems: Vec<Problem>,
}

impl Reader {
    fn parse_text(&mut self, root: &Node) -> (Option<Deployment>, Vec<PartialService>) {
        let path = JsonPath::ROOT;
        let Some(fields) = self.object_fields(root, &path, &TEXT_FIELDS) else {
            return (None, Vec::new());
        };
        let name = self.parse_field(fields, &path, "deployment");
        let region = self.parse_field(fields, &path, "region");
        let domains = self.list_field(fields, &path, "failure_domains", false);
        let domains = self.parse_items(domains, &path.field("failure_domains"));
        let service_nodes = self.list_field(fields, &path, "services", false);
        let list_path = path.field("services");
        let mut services = Vec::with_capacity(service_nodes.len());
        for (index, node) in service_nodes.iter().enumerate() {
            services.push(self.parse_service(node, &list_path.item(index)));
        }
        let deployment = name.zip(region).map(|(name, region)| Deployment {
            name,
            region,
            failure_domains: sorted_items(domains),
        });
        (deployment, services)
    }

    fn parse_service(&mut self, node: &Node, path: &JsonPath<'_>) -> PartialService {
        let Some(fields) = self.object_fields(node, path, &SERVICE_FIELDS) else {
            return PartialService {
                name: None,
                addresses: Vec::new(),
                depends_on: Vec::new(),
                limits: None,
            };
        };
        let name = self.parse_field(fields, path, "name");
        let addresses = self.list_field(fields, path, "addresses", false);
        self.check_list_len(addresses, &path.field("addresses"));
        let addresses = self.parse_addresses(addresses, &path.field("addresses"));
        let depends_on = self.list_field(fields, path, "depends_on", true);
        self.check_list_len(depends_on, &path.field("depends_on"));
        let depends_on = self.parse_items(depends_on, &path.field("depends_on"));
        let limits = self.parse_limits(fields, path);
        PartialService {
            name,
            addresses,
            depends_on,
            limits,
        }
    }

    fn parse_limits(&mut self, fields: Fields<'_>, path: &JsonPath<'_>) -> Option<Limits> {
        let slots = self.u32_field(fields, path, "slots", SLOTS);
        let connection_limit = self.u32_field(fields, path, "connections", CONNECTIONS);
        let classes = self.parse_classes(fields, path);
        Some(Limits {
            slots: Slots::new(slots?),
            connection_limit: ConnectionLimit::new(connection_limit?),
            classes: classes?,
        })
    }

    fn parse_classes(
        &mut self,
        fields: Fields<'_>,
        path: &JsonPath<'_>,
    ) -> Option<BTreeMap<RequestClass, ClassLimits>> {
        let node = self.required_field(fields, path, "classes")?;
        let path = path.field("classes");
        let names = RequestClass::ALL.map(class_name);
        let fields = self.object_fields(node, &path, &names)?;
        if fields.is_empty() {
            self.problems.push(path.problem(Violation::EmptyList));
        }
        let mut classes = BTreeMap::new();
        for (name, node) in fields {
            let Ok(class) = RequestClass::from_str(name) else {
                continue;
            };
            if let Some(limits) = self.parse_class(node, &path.field(name)) {
                classes.insert(class, limits);
            }
        }
        Some(classes)
    }

    fn parse_class(&mut self, node: &Node, path: &JsonPath<'_>) -> Option<ClassLimits> {
        let fields = self.object_fields(node, path, &CLASS_FIELDS)?;
        let is_repeatable = self.bool_field(fields, path, "repeatable");
        let deadline_ms = self.integer_field(fields, path, "deadline_ms", DEADLINE_MS);
        let queue = self.u32_field(fields, path, "queue_per_tenant", QUEUE_PER_ORGANISATION);
        let body_limit = self.integer_field(fields, path, "body_limit_bytes", BODY_LIMIT_BYTES);
        Some(ClassLimits {
            is_repeatable: is_repeatable?,
            deadline: Duration::from_millis(deadline_ms?),
            queue_per_organisation: QueueLimit::new(queue?),
            body_limit: ByteSize::new(body_limit?),
        })
    }

    fn object_fields<'a>(
        &mut self,
        node: &'a Node,
        path: &JsonPath<'_>,
        known_fields: &[&str],
    ) -> Option<Fields<'a>> {
        let Node::Object(fields) = node else {
            return self.report_wrong_type(path, "an object");
        };
        for (index, (name, _)) in fields.iter().enumerate() {
            if !known_fields.contains(&&**name) {
                self.report(path, name, Violation::UnknownField);
            } else if fields[..index].iter().any(|(earlier, _)| earlier == name) {
                self.report(path, name, Violation::RepeatedField);
            }
        }
        Some(fields)
    }

    fn required_field<'a>(
        &mut self,
        fields: Fields<'a>,
        path: &JsonPath<'_>,
        name: &str,
    ) -> Option<&'a Node> {
        let found = find(fields, name);
        if found.is_none() {
            self.report(path, name, Violation::MissingField);
        }
        found
    }

    fn parse_field<T: FromStr>(
        &mut self,
        fields: Fields<'_>,
        path: &JsonPath<'_>,
        name: &str,
    ) -> Option<T>
    where
        T::Err: ToString,
    {
        let node = self.required_field(fields, path, name)?;
        self.parse(node, &path.field(name))
    }

    fn parse<T: FromStr>(&mut self, node: &Node, path: &JsonPath<'_>) -> Option<T>
    where
        T::Err: ToString,
    {
        let Node::String(text) = node else {
            return self.report_wrong_type(path, "a string");
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let detail = error.to_string().into();
                self.problems
                    .push(path.problem(Violation::Malformed { detail }));
                None
            }
        }
    }

    fn list_field<'a>(
        &mut self,
        fields: Fields<'a>,
        path: &JsonPath<'_>,
        name: &str,
        is_optional: bool,
    ) -> &'a [Node] {
        let node = if is_optional {
            find(fields, name)
        } else {
            self.required_field(fields, path, name)
        };
        match node {
            None => &[],
            Some(Node::Array(items)) => {
                if items.is_empty() && !is_optional {
                    self.report(path, name, Violation::EmptyList);
                }
                items
            }
            Some(_) => {
                self.report_wrong_type::<()>(&path.field(name), "a list");
                &[]
            }
        }
    }

    fn check_list_len(&mut self, nodes: &[Node], path: &JsonPath<'_>) {
        let value = nodes.len() as u64;
        if value > MAX_ITEMS {
            let (min, max) = (0, MAX_ITEMS);
            let violation = Violation::OutOfRange { value, min, max };
            self.problems.push(path.problem(violation));
        }
    }

    fn parse_items<T: FromStr + Clone + Eq + Hash + ToString>(
        &mut self,
        nodes: &[Node],
        path: &JsonPath<'_>,
    ) -> Vec<(usize, T)>
    where
        T::Err: ToString,
    {
        let mut seen = FastSet::default();
        let mut items = Vec::with_capacity(nodes.len());
        for (index, node) in nodes.iter().enumerate() {
            let path = path.item(index);
            let Some(item) = self.parse::<T>(node, &path) else {
                continue;
            };
            if seen.insert(item.clone()) {
                items.push((index, item));
            } else {
                let item = item.to_string().into();
                self.problems
                    .push(path.problem(Violation::RepeatedItem { item }));
            }
        }
        items
    }

    fn parse_addresses(
        &mut self,
        nodes: &[Node],
        path: &JsonPath<'_>,
    ) -> Vec<(usize, SocketAddrV4)> {
        let mut addresses = Vec::with_capacity(nodes.len());
        for (index, node) in nodes.iter().enumerate() {
            let path = path.item(index);
            match self.parse::<SocketAddrV4>(node, &path) {
                Some(address) if address.port() == 0 || address.ip().is_unspecified() => {
                    let detail = "an address needs an IP number and a port".into();
                    self.problems
                        .push(path.problem(Violation::Malformed { detail }));
                }
                Some(address) => addresses.push((index, address)),
                None => {}
            }
        }
        addresses
    }

    fn bool_field(&mut self, fields: Fields<'_>, path: &JsonPath<'_>, name: &str) -> Option<bool> {
        match self.required_field(fields, path, name)? {
            Node::Bool(flag) => Some(*flag),
            _ => self.report_wrong_type(&path.field(name), "true or false"),
        }
    }

    fn u32_field(
        &mut self,
        fields: Fields<'_>,
        path: &JsonPath<'_>,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u32> {
        let value = self.integer_field(fields, path, name, range)?;
        u32::try_from(value).ok()
    }

    fn integer_field(
        &mut self,
        fields: Fields<'_>,
        path: &JsonPath<'_>,
        name: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let Node::Integer(value) = *self.required_field(fields, path, name)? else {
            return self.report_wrong_type(&path.field(name), "a whole number");
        };
        if range.contains(&value) {
            return Some(value);
        }
        let (min, max) = range.into_inner();
        let violation = match value {
            0 => Violation::ZeroLimit { min, max },
            value => Violation::OutOfRange { value, min, max },
        };
        self.report(path, name, violation);
        None
    }

    fn report_wrong_type<T>(&mut self, path: &JsonPath<'_>, expected: &'static str) -> Option<T> {
        self.problems
            .push(path.problem(Violation::WrongType { expected }));
        None
    }

    fn report(&mut self, path: &JsonPath<'_>, field: &str, violation: Violation) {
        self.problems.push(path.field(field).problem(violation));
    }
}

fn find<'a>(fields: Fields<'a>, name: &str) -> Option<&'a Node> {
    fields.iter().find(|(n, _)| &**n == name).map(|(_, v)| v)
}

const fn class_name(class: RequestClass) -> &'static str {
    match class {
        RequestClass::Feed => "feed",
        RequestClass::Order => "order",
        RequestClass::Upload => "upload",
    }
}
