"""Client of the platform's list of VMs."""

import collections.abc
import typing

import attrs

from jujubepass import _backend_messages, _http_client, ids

_TIMEOUT_SECONDS = 2.0

Post = collections.abc.Callable[[typing.Any], None]


@attrs.define(kw_only=True)
class VmClient:
    """Read the list and post it."""

    client: _http_client.Client
    address: _http_client.Address
    post: Post

    async def poll(self, command: _backend_messages.PollVms) -> None:
        """Read the list once."""
        try:
            answer = await self.client.request(
                "GET", self.address, "/vms", timeout_seconds=_TIMEOUT_SECONDS
            )
            found = answer.read_json()
            vms = tuple(_read_vm(row) for row in found["vms"])
            age = float(found["as_of_seconds_ago"])
        except (_http_client.ClientError, KeyError, TypeError, ValueError) as error:
            self.post(_backend_messages.VmsUnlisted(detail=str(error)))
            return
        self.post(_backend_messages.VmsListed(vms=vms, age_seconds=age))


def _read_vm(row: dict[str, typing.Any]) -> _backend_messages.Vm:
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
