"""Digests that identify requests, and cannot be guessed back without a secret."""

import hashlib
import hmac
import secrets

import attrs

from jujubepass import ids

SECRET_BYTES = 32
_DIGEST_BYTES = 16


@attrs.define(kw_only=True, eq=False)
class Identity:
    """Identify a request by its path, client account and body, once that is needed."""

    host: str
    target: str
    account: str
    """Empty for a request without an account."""
    body: bytes
    _digest: bytes | None = attrs.field(default=None, init=False)

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
    """Make digests of requests that are comparable under one secret."""

    secret: bytes = attrs.field(factory=lambda: secrets.token_bytes(SECRET_BYTES))

    def make_digest(self, identity: Identity) -> ids.RequestDigest:
        """Return a request's digest under the secret."""
        digest = identity.compute_digest()
        found = hmac.digest(self.secret, digest, hashlib.sha256)[:_DIGEST_BYTES]
        return ids.RequestDigest(found.hex())
