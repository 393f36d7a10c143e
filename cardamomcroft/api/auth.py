"""Authenticate bearer tokens and check permissions."""

import dataclasses
import hashlib

from cardamomcroft.settings import documents
from cardamomcroft.state import models


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """Operator of one team, or of the whole fleet if ``team`` is empty."""

    name: str
    team: str = ""

    def may_change(self, path: str) -> bool:
        """Return whether the operator may change the settings at a path."""
        return not self.team or path.startswith(f"teams/{self.team}/")

    def may_see(self, account: str) -> bool:
        """Return whether the operator may see an account's jobs."""
        return not self.team or account.startswith(f"{self.team}/")


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Caller that belongs to a client account."""

    account: str
    name: str

    def may_see(self, account: str) -> bool:
        """Return whether the caller may see an account's jobs."""
        return account == self.account


Identity = Operator | Caller


def is_of_the_fleet(identity: Identity | None) -> bool:
    """Return whether the identity is known without the log's settings."""
    return isinstance(identity, Operator) and not identity.team


def digest_token(token: str) -> str:
    """Return the SHA-256 of a token in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


class Authenticator:
    """Index of identities by token digest, rebuilt when settings change."""

    def __init__(self, operators: dict[str, documents.Principal]) -> None:
        """Register the operators of the whole fleet, which have no team."""
        self._fleet_operators = {
            principal.token_sha256: Operator(name)
            for name, principal in operators.items()
        }
        self._indexed_settings: object = None
        self._identity_by_digest: dict[str, Identity] = {}

    def identify(self, header: str, state: models.State) -> Identity | None:
        """Return the identity for an Authorization header, or None."""
        scheme, _, token = header.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        if state.settings is not self._indexed_settings:
            self._identity_by_digest = self._index_tokens(state)
            self._indexed_settings = state.settings
        return self._identity_by_digest.get(digest_token(token.strip()))

    def _index_tokens(self, state: models.State) -> dict[str, Identity]:
        identity_by_digest: dict[str, Identity] = {}
        for path, entry in state.settings.items():
            document = entry.document
            if isinstance(document, documents.Operators):
                team = path.split("/")[1]
                for name, principal in document.operators.items():
                    identity_by_digest[principal.token_sha256] = Operator(
                        name, team
                    )
            elif isinstance(document, documents.Account):
                _, team, _, account = path.split("/")
                for name, principal in document.callers.items():
                    identity_by_digest[principal.token_sha256] = Caller(
                        f"{team}/{account}", name
                    )
        return identity_by_digest | self._fleet_operators
