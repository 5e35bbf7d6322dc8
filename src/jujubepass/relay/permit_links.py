"""Links over which nodes ask homes for permits."""

import logging
import math
import secrets
import typing

import attrs

from jujubepass import _decoding, ids
from jujubepass.forwarding import clocks, home_leases, members, permit_home, permits
from jujubepass.relay import codec
from jujubepass.transport import _http_client, _http_server

_LOGGER = logging.getLogger(__name__)

PATH = "/v1/permits"
VOTE_PATH = "/v1/votes"
_PATHS = (PATH, VOTE_PATH)
_FORBIDDEN = 403
_OK = 200
# A query asks for requests that wait at one node.
_MAX_WAITS = 1_000


@attrs.frozen(kw_only=True)
class HttpTransport:
    """Carry queries for permits over HTTP."""

    client: _http_client.Client

    async def ask(
        self, home: members.Member, query: permit_home.Query, timeout_seconds: float
    ) -> permit_home.Reply:
        """Send a query and return the reply; raises permits.PermitError."""
        nonce = secrets.token_hex(8)
        body = write_query(query, nonce, home.token)
        try:
            data = await self._exchange(home, PATH, body, timeout_seconds)
            return read_reply(data, nonce, home.token)
        except (_http_client.ClientError, codec.MessageError) as error:
            raise permits.PermitError(str(error)) from error

    async def ask_vote(
        self,
        voter: members.Member,
        request: home_leases.VoteRequest,
        timeout_seconds: float,
    ) -> home_leases.Vote:
        """Send a request for a vote; raises home_leases.VoteError."""
        nonce = secrets.token_hex(8)
        body = write_vote_request(request, nonce, voter.token)
        try:
            data = await self._exchange(voter, VOTE_PATH, body, timeout_seconds)
            return read_vote(data, nonce, voter.token)
        except (_http_client.ClientError, codec.MessageError) as error:
            raise home_leases.VoteError(str(error)) from error

    async def _exchange(
        self, node: members.Member, path: str, body: bytes, timeout_seconds: float
    ) -> bytes:
        if node.address is None:
            raise codec.MessageError("the node takes no queries")
        answer = await self.client.request(
            "POST",
            node.address,
            path,
            body=body,
            timeout_seconds=timeout_seconds,
            once=True,
        )
        if answer.status != _OK:
            raise codec.MessageError(f"answered {answer.status}")
        return answer.body


@attrs.define(kw_only=True)
class PermitServer:
    """Answer the queries of other nodes for permits, and for votes."""

    home: permit_home.PermitHome
    token: str = attrs.field(repr=False)
    answered: int = attrs.field(default=0, init=False)
    rejected: int = attrs.field(default=0, init=False)

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Answer a query over HTTP."""
        answer = self._vote if request.path == VOTE_PATH else self._give_permits
        try:
            data = await answer(request.body)
        except codec.MessageError as error:
            self.rejected += 1
            _LOGGER.warning(
                "query for permits rejected",
                extra={"peer": request.peer, "detail": str(error)},
            )
            await responder.send(_FORBIDDEN, b"")
            return
        self.answered += 1
        await responder.send(_OK, data, content_type="application/octet-stream")

    async def _give_permits(self, body: bytes) -> bytes:
        query, nonce = read_query(body, self.token)
        return write_reply(await self.home.reply(query), nonce, self.token)

    async def _vote(self, body: bytes) -> bytes:
        request, nonce = read_vote_request(body, self.token)
        vote = self.home.leases.vote(request, clocks.read_boot_clock())
        return codec.seal([nonce, vote.value], self.token)


@attrs.frozen(kw_only=True)
class NodeServer:
    """Pass the queries of other nodes on by their path."""

    rows: _http_server.Handler
    permits: PermitServer

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Answer a query over HTTP."""
        handler = self.permits if request.path in _PATHS else self.rows
        await handler(request, responder)


def write_query(query: permit_home.Query, nonce: str, token: str) -> bytes:
    """Encode a query for the node that holds a token."""
    name, started_at = query.server
    value = [nonce, query.node, name, started_at, query.failure_domain]
    value += [_write_rate(query.requests_per_second), query.limit_age_seconds]
    return codec.seal([*value, list(query.waits), query.streams], token)


def read_query(data: bytes, token: str) -> tuple[permit_home.Query, str]:
    """Decode a query and its nonce; raises codec.MessageError."""
    value = codec.unseal(data, token)
    try:
        nonce, node, name, started_at, domain, rate, age, waits, streams = value
        if len(waits) > _MAX_WAITS:
            raise codec.MessageError(f"query for {len(waits)} requests")
        return permit_home.Query(
            node=ids.NodeId(str(node)),
            server=(ids.BackendServerId(str(name)), _decoding.read_integer(started_at)),
            failure_domain=ids.FailureDomainId(str(domain)),
            requests_per_second=_read_rate(rate),
            limit_age_seconds=_decoding.read_number(age),
            waits=tuple(_decoding.read_number(each) for each in waits),
            streams=_decoding.read_integer(streams),
        ), str(nonce)
    except _decoding.MALFORMED_ERRORS as error:
        raise codec.MessageError(f"invalid query: {error!r:.200}") from error


def write_reply(reply: permit_home.Reply, nonce: str, token: str) -> bytes:
    """Encode the reply to the query with a nonce."""
    rate = _write_rate(reply.requests_per_second)
    value = [nonce, rate, reply.limit_age_seconds, list(reply.delays)]
    value += [reply.free_seconds, reply.askers, reply.mean_streams, reply.leader]
    return codec.seal(value, token)


def read_reply(data: bytes, nonce: str, token: str) -> permit_home.Reply:
    """Decode the reply to the query with a nonce; raises codec.MessageError."""
    value = codec.unseal(data, token)
    try:
        found_nonce, rate, age, delays, *others = value
        free_seconds, askers, mean_streams, leader = others
        if found_nonce != nonce:
            raise codec.MessageError("reply to another query")
        return permit_home.Reply(
            requests_per_second=_read_rate(rate),
            limit_age_seconds=_decoding.read_number(age),
            delays=tuple(
                None if each is None else _decoding.read_number(each) for each in delays
            ),
            free_seconds=_decoding.read_number(free_seconds),
            askers=_decoding.read_integer(askers),
            mean_streams=None
            if mean_streams is None
            else _decoding.read_number(mean_streams),
            leader=None if leader is None else ids.NodeId(str(leader)),
        )
    except _decoding.MALFORMED_ERRORS as error:
        raise codec.MessageError(f"invalid reply: {error!r:.200}") from error


def write_vote_request(
    request: home_leases.VoteRequest, nonce: str, token: str
) -> bytes:
    """Encode a request for a vote for the node that holds a token."""
    name, started_at = request.server
    value = [nonce, request.node, name, started_at, request.failure_domain]
    return codec.seal(value, token)


def read_vote_request(data: bytes, token: str) -> tuple[home_leases.VoteRequest, str]:
    """Decode a request for a vote and its nonce; raises codec.MessageError."""
    value = codec.unseal(data, token)
    try:
        nonce, node, name, started_at, domain = value
        return home_leases.VoteRequest(
            node=ids.NodeId(str(node)),
            server=(ids.BackendServerId(str(name)), _decoding.read_integer(started_at)),
            failure_domain=ids.FailureDomainId(str(domain)),
        ), str(nonce)
    except _decoding.MALFORMED_ERRORS as error:
        raise codec.MessageError(
            f"invalid request for a vote: {error!r:.200}"
        ) from error


def read_vote(data: bytes, nonce: str, token: str) -> home_leases.Vote:
    """Decode the reply to the request with a nonce; raises codec.MessageError."""
    value = codec.unseal(data, token)
    try:
        found_nonce, vote = value
        if found_nonce != nonce:
            raise codec.MessageError("reply to another request for a vote")
        return home_leases.Vote(vote)
    except _decoding.MALFORMED_ERRORS as error:
        raise codec.MessageError(f"invalid vote: {error!r:.200}") from error


def _write_rate(requests_per_second: float) -> float | None:
    """Return a rate for JSON, which has no infinity."""
    return requests_per_second if math.isfinite(requests_per_second) else None


def _read_rate(value: typing.Any) -> float:
    return math.inf if value is None else _decoding.read_number(value)
