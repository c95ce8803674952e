use cuminarch_config::{AccountIndex, HeldKey};
use cuminarch_engine::Arrival;
use cuminarch_protocol::HeaderField;
use cuminarch_types::ApiKey;

use super::CredentialFault;

/// Header field in which a request carries the key of its client account, after a scheme.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyField {
    /// Name of the field, in lower case.
    pub name: &'static str,
    /// The scheme; its case does not matter.
    pub scheme: &'static str,
}

impl KeyField {
    /// Returns the account of a request, from the accounts in force; `None` if it needs none and
    /// names none.
    ///
    /// # Errors
    ///
    /// Returns the fault of the key if the request needs one.
    pub fn identify<'a>(
        &self,
        accounts: &'a AccountIndex,
        is_public: bool,
        fields: &[HeaderField],
    ) -> Result<Option<HeldKey<'a>>, CredentialFault> {
        if !accounts.requires_key() {
            return Ok(None);
        }
        let fault_of = |key: &[u8]| {
            if accounts.is_set_aside(key) {
                CredentialFault::AccountSetAside
            } else {
                CredentialFault::Unknown
            }
        };
        let key = self.find(fields);
        match key.and_then(|key| accounts.find(key).ok_or_else(|| fault_of(key))) {
            Ok(held) => Ok(Some(held)),
            Err(_) if is_public => Ok(None),
            Err(fault) => Err(fault),
        }
    }

    /// Returns the key of a request with exactly one well-formed field for it.
    fn find<'a>(&self, fields: &'a [HeaderField]) -> Result<&'a [u8], CredentialFault> {
        let mut found = fields.iter().filter(|field| field.name == self.name);
        let field = found.next().ok_or(CredentialFault::Missing)?;
        if found.next().is_some() {
            return Err(CredentialFault::Repeated);
        }
        self.parse(&field.value).ok_or(CredentialFault::Malformed)
    }

    fn parse<'a>(&self, value: &'a [u8]) -> Option<&'a [u8]> {
        let end = value.iter().position(|byte| *byte == b' ')?;
        let (scheme, rest) = value.split_at(end);
        let key = rest.trim_ascii();
        let is_scheme = scheme.eq_ignore_ascii_case(self.scheme.as_bytes());
        (is_scheme && ApiKey::is_well_formed(key)).then_some(key)
    }
}

/// Sets the account of an arrival. The key is checked again before each send, unless the request
/// needs none: a withdrawn key does not stop a public request.
#[must_use]
pub fn with_account(arrival: Arrival, held: &HeldKey<'_>, is_public: bool) -> Arrival {
    let credential = (!is_public).then_some(held.digest);
    arrival.with_account(Some(held.account.name.clone())).with_credential(credential)
}
