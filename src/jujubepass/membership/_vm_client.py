"""Client of the platform's VM list."""

import collections.abc
import logging
import typing

import attrs

from jujubepass import _decoding, ids
from jujubepass.backends import _backend_messages
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)

_REQUEST_TIMEOUT_SECONDS = 2.0
_NOT_MODIFIED = 304

Row = dict[str, typing.Any]
Post = collections.abc.Callable[[typing.Any], None]


@attrs.define(kw_only=True)
class VmClient:
    """Fetch the VM list and post it as an event.

    An unchanged list is not read again, and an unchanged row not parsed again.
    """

    client: _http_client.Client
    address: _http_client.Address
    post: Post
    _etag: str = attrs.field(default="", init=False)
    _age_seconds: float = attrs.field(default=0.0, init=False)
    _vms: tuple[_backend_messages.Vm, ...] = attrs.field(default=(), init=False)
    _parsed: dict[str, tuple[Row, _backend_messages.Vm]] = attrs.field(
        factory=dict, init=False
    )
    _rejected: frozenset[str] = attrs.field(default=frozenset(), init=False)

    async def poll(self, command: _backend_messages.PollVms) -> None:
        """Fetch the list once and post the result."""
        headers = {"if-none-match": self._etag} if self._etag else {}
        try:
            answer = await self.client.request(
                "GET",
                self.address,
                "/vms",
                headers=headers,
                timeout_seconds=_REQUEST_TIMEOUT_SECONDS,
            )
            if answer.status != _NOT_MODIFIED:
                self._store_list(answer)
            age = float(answer.headers.get("age", self._age_seconds))
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS) as error:
            self.post(_backend_messages.VmsUnlisted(detail=str(error)))
            return
        self.post(_backend_messages.VmsListed(vms=self._vms, age_seconds=age))

    def _store_list(self, answer: _http_client.Answer) -> None:
        found = answer.read_json()
        rows: list[Row] = found["vms"]
        self._age_seconds = float(found["as_of_seconds_ago"])
        rejected = set()
        parsed = {}
        for row in rows:
            name = str(row["name"])
            previous = self._parsed.get(name)
            if previous is not None and previous[0] == row:
                parsed[name] = previous
                continue
            try:
                parsed[name] = (row, _read_vm(row))
            except _decoding.MALFORMED_ERRORS as error:
                rejected.add(name)
                if name not in self._rejected:
                    _LOGGER.warning("invalid VM %s in list skipped: %r", name, error)
        self._parsed = parsed
        self._rejected = frozenset(rejected)
        self._vms = tuple(vm for _, vm in parsed.values())
        self._etag = answer.headers.get("etag", "")


def _read_vm(row: Row) -> _backend_messages.Vm:
    properties = row.get("properties") or {}
    return _backend_messages.Vm(
        name=row["name"],
        role=_backend_messages.VmRole(row["role"]),
        address=_http_client.parse_address(row["address"]),
        region=ids.RegionId(row["region"]),
        failure_domain=ids.FailureDomainId(row["failure_domain"]),
        state=_backend_messages.VmState(row["state"]),
        accelerator=properties.get("accelerator", ""),
        service=ids.ServiceId(properties.get("service", "")),
        checks_fencing=bool(properties.get("checks_fencing", False)),
        answers_outcomes=bool(properties.get("answers_outcomes", False)),
    )
