"""Digests that identify requests, and cannot be guessed back without a secret.

The secret is that of all nodes. It stands in the store apart from the rows of suspects,
and is written when it is first needed.
"""

import collections.abc
import hashlib
import hmac
import secrets

import attrs

from jujubepass import ids
from jujubepass.quarantine import suspects

SECRET_BYTES = 32
_DIGEST_BYTES = 16
_MAX_REMEMBERED = 10_000


@attrs.define(kw_only=True, eq=False)
class Identity:
    """Identify a request by its path, client account and body, once that is needed."""

    host: str
    target: str
    account: str
    """Empty for a request without an account."""
    body: bytes
    _digest: bytes | None = attrs.field(default=None, init=False)

    def equals(self, other: "Identity") -> bool:
        """Return whether another identity is that of the same request."""
        fields = self.host, self.target, self.account, self.body
        return fields == (other.host, other.target, other.account, other.body)

    def compute_digest(self) -> bytes:
        """Return a digest that is for this process alone."""
        if self._digest is None:
            host = self.host.partition(":")[0].lower()
            found = hashlib.sha256()
            for text in (host, self.target, self.account):
                data = text.encode(errors="surrogateescape")
                found.update(len(data).to_bytes(8, "big") + data)
            found.update(self.body)
            self._digest = found.digest()
        return self._digest


@attrs.define(kw_only=True)
class Fingerprints:
    """Make the keys of requests under the secret that all nodes share."""

    secret: bytes = attrs.field(factory=lambda: secrets.token_bytes(SECRET_BYTES))
    """Proposed by this node until it is shared."""
    is_shared: bool = False
    _digests: dict[suspects.RequestKey, bytes] = attrs.field(factory=dict, init=False)
    """Digests of remembered requests, of which another secret makes other keys."""

    def make_key(self, identity: Identity) -> suspects.RequestKey:
        """Return a request's key."""
        return self._make_key(identity.compute_digest())

    def remember(self, identity: Identity) -> suspects.RequestKey:
        """Return a request's key, and keep what a change of the secret needs."""
        key = self.make_key(identity)
        self._digests.pop(key, None)
        self._digests[key] = identity.compute_digest()
        while len(self._digests) > _MAX_REMEMBERED:
            del self._digests[next(iter(self._digests))]
        return key

    def adopt(
        self, secret: bytes
    ) -> collections.abc.Mapping[suspects.Key, suspects.Key]:
        """Use the shared secret; return the new keys of remembered requests."""
        self.is_shared = True
        if secret == self.secret:
            return {}
        self.secret = secret
        before, self._digests = self._digests, {}
        changed: dict[suspects.Key, suspects.Key] = {}
        for old, digest in before.items():
            changed[old] = key = self._make_key(digest)
            self._digests[key] = digest
        return changed

    def _make_key(self, digest: bytes) -> suspects.RequestKey:
        found = hmac.digest(self.secret, digest, hashlib.sha256)[:_DIGEST_BYTES]
        return suspects.RequestKey(digest=ids.RequestDigest(found.hex()))
