//! The keys of a deployment and the key file.
//!
//! The file holds one secret for each of up to two generations. HKDF derives separate keys for
//! connection ids, tunnel datagrams, control sessions and stateless resets from each secret, so none
//! of them reveals another.

use std::path::Path;
use std::sync::Arc;

use arc_swap::ArcSwap;
use cranberrypitch_core::KeyGeneration;
use cranberrypitch_core::token::{CheckKey, TokenKeys};
use cranberrypitch_proto::control::TAG_LEN_BYTES;
use ring::{hkdf, hmac};
use serde_json::{Map, Value};

use crate::errors::{ControlErrorKind, Error, Problem, ProblemKind, Problems, Result};
use crate::json;

/// The length of a generation's secret.
pub const SECRET_LEN_BYTES: usize = 32;

/// The highest key generation; a connection id has four bits for it.
pub const MAX_GENERATION: u8 = 15;

const MAX_GENERATIONS: usize = 2;
const CHECK_KEY_LEN_BYTES: usize = 16;
const HKDF_SALT: &[u8] = b"cranberrypitch/1";
const GENERATION_RULE: &str = "a whole number from 0 to 15";
const SECRET_RULE: &str = "64 hexadecimal digits (32 bytes)";
const LIST_RULE: &str = "a list of one or two keys with different generations";
const CURRENT_RULE: &str = "the generation of one of the keys";

/// The keys of a process, replaced as a whole by [`KeyRing::reload`].
#[derive(Debug)]
pub struct KeyRing {
    file: Option<Box<Path>>,
    keys: ArcSwap<Keys>,
}

impl KeyRing {
    /// Reads the keys from a file.
    pub fn load(file: &Path) -> Result<Self> {
        let keys = read_keys(file)?;
        Ok(Self {
            file: Some(file.into()),
            keys: ArcSwap::from_pointee(keys),
        })
    }

    /// Reads the keys from a text; `file` is the name for error messages and is not read.
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        let keys = parse_keys(file, text)?;
        Ok(Self {
            file: None,
            keys: ArcSwap::from_pointee(keys),
        })
    }

    /// Returns a key ring with one generation and without a file, for tests and the demo.
    pub fn from_secret(generation: KeyGeneration, secret: &[u8; SECRET_LEN_BYTES]) -> Self {
        let current = GenerationKeys::derive(generation, secret);
        Self {
            file: None,
            keys: ArcSwap::from_pointee(Keys::new(current, None)),
        }
    }

    /// Reads the key file again and replaces the keys. If the file is invalid, the keys stay in use.
    ///
    /// Does nothing for a key ring without a file.
    pub fn reload(&self) -> Result<()> {
        if let Some(file) = &self.file {
            self.keys.store(Arc::new(read_keys(file)?));
        }
        Ok(())
    }

    /// Returns the keys that are currently in use.
    pub fn keys(&self) -> Arc<Keys> {
        self.keys.load_full()
    }

    /// Returns the keys that authenticate connection ids.
    pub fn token_keys(&self) -> TokenKeys {
        self.keys.load().token
    }

    /// Returns the keys that authenticate tunnel datagrams.
    pub fn tunnel_keys(&self) -> TokenKeys {
        self.keys.load().tunnel
    }
}

/// The derived keys of up to two generations.
#[derive(Clone, Debug)]
pub struct Keys {
    token: TokenKeys,
    tunnel: TokenKeys,
    control: ControlKeys,
    stateless_reset_key: hmac::Key,
}

impl Keys {
    fn new(current: GenerationKeys, other: Option<GenerationKeys>) -> Self {
        let token_other = other.as_ref().map(|keys| keys.token);
        let tunnel_other = other.as_ref().map(|keys| keys.tunnel);
        Self {
            token: TokenKeys::new(current.token, token_other),
            tunnel: TokenKeys::new(current.tunnel, tunnel_other),
            control: ControlKeys {
                current: current.control,
                other: other.map(|keys| keys.control),
            },
            stateless_reset_key: current.stateless_reset_key,
        }
    }

    /// Returns the keys that authenticate connection ids.
    pub const fn token(&self) -> &TokenKeys {
        &self.token
    }

    /// Returns the keys that authenticate tunnel datagrams.
    pub const fn tunnel(&self) -> &TokenKeys {
        &self.tunnel
    }

    /// Returns the keys that authenticate control sessions.
    pub const fn control(&self) -> &ControlKeys {
        &self.control
    }

    /// Returns the key of stateless reset tokens. It does not depend on the run, so an agent that
    /// restarts on the same address can reset the connections of its earlier run.
    pub const fn stateless_reset_key(&self) -> &hmac::Key {
        &self.stateless_reset_key
    }
}

/// The keys of control sessions. New sessions prefer the current one; both sign and verify.
#[derive(Clone, Debug)]
pub struct ControlKeys {
    current: (KeyGeneration, hmac::Key),
    other: Option<(KeyGeneration, hmac::Key)>,
}

impl ControlKeys {
    /// Returns the current generation, which new sessions prefer.
    pub const fn generation(&self) -> KeyGeneration {
        self.current.0
    }

    /// Returns all generations, the current one first.
    pub fn generations(&self) -> Vec<KeyGeneration> {
        let other = self.other.iter().map(|key| key.0);
        std::iter::once(self.current.0).chain(other).collect()
    }

    /// Signs `content` with the key of a generation. Fails with
    /// [`ControlErrorKind::NoSharedKey`] if there is no such key.
    pub fn sign(
        &self,
        generation: KeyGeneration,
        content: &[u8],
    ) -> std::result::Result<[u8; TAG_LEN_BYTES], ControlErrorKind> {
        let signed = hmac::sign(self.by_generation(generation)?, content);
        let mut tag = [0; TAG_LEN_BYTES];
        tag.copy_from_slice(signed.as_ref());
        Ok(tag)
    }

    /// Verifies the signature of `content` in constant time. Fails with
    /// [`ControlErrorKind::NoSharedKey`] or [`ControlErrorKind::WrongKey`].
    pub fn verify(
        &self,
        generation: KeyGeneration,
        content: &[u8],
        tag: &[u8],
    ) -> std::result::Result<(), ControlErrorKind> {
        let key = self.by_generation(generation)?;
        match hmac::verify(key, content, tag) {
            Ok(()) => Ok(()),
            Err(ring::error::Unspecified) => Err(ControlErrorKind::WrongKey { generation }),
        }
    }

    fn by_generation(
        &self,
        generation: KeyGeneration,
    ) -> std::result::Result<&hmac::Key, ControlErrorKind> {
        match &self.other {
            _ if self.current.0 == generation => Ok(&self.current.1),
            Some((other, key)) if *other == generation => Ok(key),
            _ => Err(ControlErrorKind::NoSharedKey),
        }
    }
}

/// The derived keys of one generation.
struct GenerationKeys {
    token: CheckKey,
    tunnel: CheckKey,
    control: (KeyGeneration, hmac::Key),
    stateless_reset_key: hmac::Key,
}

impl GenerationKeys {
    fn derive(generation: KeyGeneration, secret: &[u8; SECRET_LEN_BYTES]) -> Self {
        let salt = hkdf::Salt::new(hkdf::HKDF_SHA256, HKDF_SALT);
        let root = salt.extract(secret);
        Self {
            token: CheckKey::new(generation, expand(&root, b"token")),
            tunnel: CheckKey::new(generation, expand(&root, b"tunnel")),
            control: (generation, expand_hmac(&root, b"control")),
            stateless_reset_key: expand_hmac(&root, b"stateless reset"),
        }
    }
}

struct CheckKeyLen;

impl hkdf::KeyType for CheckKeyLen {
    fn len(&self) -> usize {
        CHECK_KEY_LEN_BYTES
    }
}

fn expand(root: &hkdf::Prk, purpose: &[u8]) -> [u8; CHECK_KEY_LEN_BYTES] {
    let mut key = [0; CHECK_KEY_LEN_BYTES];
    root.expand(&[purpose], CheckKeyLen)
        .and_then(|okm| okm.fill(&mut key))
        .expect("HKDF-SHA256 gives up to 8160 bytes");
    key
}

fn expand_hmac(root: &hkdf::Prk, purpose: &[u8]) -> hmac::Key {
    let info = [purpose];
    let okm = root
        .expand(&info, hmac::HMAC_SHA256)
        .expect("HKDF-SHA256 gives up to 8160 bytes");
    hmac::Key::from(okm)
}

fn read_keys(file: &Path) -> Result<Keys> {
    let refuse = |kind| Error::invalid_file(Problem::new(file, "", kind));
    let text = std::fs::read_to_string(file).map_err(|e| refuse(ProblemKind::unreadable(&e)))?;
    parse_keys(file, &text)
}

fn parse_keys(file: &Path, text: &str) -> Result<Keys> {
    // A message of the parser could quote part of a secret, so only the position is reported.
    let value = json::parse(text).map_err(|e| {
        let detail = format!("line {} column {}", e.line(), e.column()).into();
        Error::invalid_file(Problem::new(file, "", ProblemKind::NotJson { detail }))
    })?;
    KeyFileCheck::new(file).keys(&value)
}

/// Checks a key file and collects all its problems.
struct KeyFileCheck<'a> {
    file: &'a Path,
    problems: Vec<Problem>,
}

impl<'a> KeyFileCheck<'a> {
    const fn new(file: &'a Path) -> Self {
        Self {
            file,
            problems: Vec::new(),
        }
    }

    fn keys(mut self, value: &Value) -> Result<Keys> {
        let parsed = self.parse(value);
        Problems::check(self.problems)?;
        let (current, mut keys) = parsed.expect("a file without problems has keys");
        let index = keys.iter().position(|key| key.0 == current).unwrap_or(0);
        let signing = keys.swap_remove(index);
        let derive = |key: ParsedKey| GenerationKeys::derive(key.0, &key.1);
        Ok(Keys::new(derive(signing), keys.pop().map(derive)))
    }

    fn parse(&mut self, value: &Value) -> Option<(KeyGeneration, Vec<ParsedKey>)> {
        let Some(fields) = value.as_object() else {
            self.report("", ProblemKind::invalid_value(&"the text", "a JSON object"));
            return None;
        };
        self.check_known("", fields, &["current", "keys"]);
        let keys = self.key_list(fields.get("keys"));
        let current = self.generation("current", fields.get("current"), CURRENT_RULE);
        let (current, keys) = (current?, keys?);
        if !keys.iter().any(|key| key.0 == current) {
            self.report(
                "current",
                ProblemKind::invalid_value(&current, CURRENT_RULE),
            );
        }
        Some((current, keys))
    }

    fn key_list(&mut self, value: Option<&Value>) -> Option<Vec<ParsedKey>> {
        let Some(value) = value else {
            self.report("keys", missing(LIST_RULE));
            return None;
        };
        let Some(list) = value.as_array().filter(|list| !list.is_empty()) else {
            self.report("keys", ProblemKind::invalid_value(&"the value", LIST_RULE));
            return None;
        };
        if list.len() > MAX_GENERATIONS {
            let found = format!("a list of {}", list.len());
            self.report("keys", ProblemKind::invalid_value(&found, LIST_RULE));
            return None;
        }
        let keys = list.iter().enumerate();
        let keys: Vec<_> = keys.filter_map(|(i, key)| self.key(i, key)).collect();
        if let [first, second] = keys.as_slice()
            && first.0 == second.0
        {
            self.report(
                "keys[1].generation",
                ProblemKind::invalid_value(&second.0, LIST_RULE),
            );
        }
        Some(keys)
    }

    fn key(&mut self, index: usize, value: &Value) -> Option<ParsedKey> {
        let path = format!("keys[{index}]");
        let Some(fields) = value.as_object() else {
            self.report(
                &path,
                ProblemKind::invalid_value(&"the value", "a JSON object"),
            );
            return None;
        };
        self.check_known(&path, fields, &["generation", "secret_hex"]);
        let generation = self.generation(
            &format!("{path}.generation"),
            fields.get("generation"),
            GENERATION_RULE,
        );
        let secret = self.secret(&format!("{path}.secret_hex"), fields.get("secret_hex"));
        Some((generation?, secret?))
    }

    fn generation(
        &mut self,
        path: &str,
        value: Option<&Value>,
        rule: &str,
    ) -> Option<KeyGeneration> {
        let Some(value) = value else {
            self.report(path, missing(rule));
            return None;
        };
        let number = value.as_u64().and_then(|n| u8::try_from(n).ok());
        match number {
            Some(number) if number <= MAX_GENERATION => Some(KeyGeneration::new(number)),
            _ => {
                self.report(path, ProblemKind::invalid_value(value, rule));
                None
            }
        }
    }

    fn secret(&mut self, path: &str, value: Option<&Value>) -> Option<[u8; SECRET_LEN_BYTES]> {
        let Some(value) = value else {
            self.report(path, missing(SECRET_RULE));
            return None;
        };
        let secret = value.as_str().and_then(parse_secret);
        if secret.is_none() {
            // The value itself is not shown, as it may be a mistyped secret.
            self.report(path, ProblemKind::invalid_value(&"the value", SECRET_RULE));
        }
        secret
    }

    fn check_known(&mut self, path: &str, fields: &Map<String, Value>, known: &[&str]) {
        for name in fields.keys().filter(|name| !known.contains(&name.as_str())) {
            let separator = if path.is_empty() { "" } else { "." };
            let field = format!("{path}{separator}{name}");
            let known = known.join(", ").into();
            self.report(&field, ProblemKind::UnknownField { known });
        }
    }

    fn report(&mut self, field: &str, kind: ProblemKind) {
        self.problems.push(Problem::new(self.file, field, kind));
    }
}

type ParsedKey = (KeyGeneration, [u8; SECRET_LEN_BYTES]);

fn missing(rule: &str) -> ProblemKind {
    ProblemKind::MissingField {
        expected: rule.into(),
    }
}

fn parse_secret(text: &str) -> Option<[u8; SECRET_LEN_BYTES]> {
    if text.len() != 2 * SECRET_LEN_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut secret = [0; SECRET_LEN_BYTES];
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(secret)
}
