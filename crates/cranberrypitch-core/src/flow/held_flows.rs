//! The set of flows that a target may hold after its agent has ended admission.
//!
//! An agent that admits no flow is the only path to its target, so the flows of the target can only become
//! fewer. The set is part of the agent's record in the store and tells balancers which flows need no wait for
//! an agent that is silent.

use serde::{Deserialize, Deserializer, Serialize, de::IgnoredAny};
use serde_with::base64::Base64;
use serde_with::{DeserializeAs, SerializeAs};

use super::packet::FlowKey;

/// The maximum number of flows in a set, which limits a record to about 22 KB.
const MAX_FLOWS: usize = 4096;

const HASH_BYTES: usize = size_of::<u32>();

/// The 32-bit hashes of flows, in ascending order. Another flow with the hash of a member counts as a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldFlows(Box<[u32]>);

impl HeldFlows {
    /// Returns the set of the given flows, or nothing if there are more than 4,096.
    pub fn new(flows: impl IntoIterator<Item = FlowKey>) -> Option<Self> {
        let hashes: Vec<_> = flows.into_iter().map(|flow| flow_hash(&flow)).collect();
        Self::from_hashes(hashes)
    }

    fn from_hashes(mut hashes: Vec<u32>) -> Option<Self> {
        hashes.sort_unstable();
        hashes.dedup();
        (hashes.len() <= MAX_FLOWS).then(|| Self(hashes.into()))
    }

    /// Returns whether a flow, or another one with its hash, is in the set.
    pub fn may_contain(&self, flow: &FlowKey) -> bool {
        self.0.binary_search(&flow_hash(flow)).is_ok()
    }

    /// Returns the number of distinct hashes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the set has no flows.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn to_bytes(&self) -> Vec<u8> {
        self.0.iter().flat_map(|hash| hash.to_be_bytes()).collect()
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (hashes, rest) = bytes.as_chunks::<HASH_BYTES>();
        let hashes = hashes.iter().map(|hash| u32::from_be_bytes(*hash));
        rest.is_empty()
            .then(|| Self::from_hashes(hashes.collect()))?
    }
}

impl Serialize for HeldFlows {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Base64::<serde_with::base64::Standard>::serialize_as(&self.to_bytes(), serializer)
    }
}

/// A set in a record; a malformed one counts as absent, so that the rest of the record stays readable.
pub(super) fn deserialize_or_absent<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<HeldFlows>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Field {
        Text(Box<str>),
        Malformed(IgnoredAny),
    }
    Ok(match Field::deserialize(deserializer)? {
        Field::Text(text) => decode(&text),
        Field::Malformed(IgnoredAny) => None,
    })
}

fn decode(text: &str) -> Option<HeldFlows> {
    let text = serde::de::value::StrDeserializer::<serde::de::value::Error>::new(text);
    let bytes: Vec<u8> = Base64::<serde_with::base64::Standard>::deserialize_as(text).ok()?;
    HeldFlows::from_bytes(&bytes)
}

/// Returns the part of a flow's hash that a set contains.
fn flow_hash(flow: &FlowKey) -> u32 {
    let [_, _, _, _, hash @ ..] = flow.stable_hash().to_be_bytes();
    u32::from_be_bytes(hash)
}
