"""Task that sends and receives the datagrams of the shared view."""

import ipaddress
import logging
import socket

import attrs
import trio

from jujubepass.capacity import controller, outbox
from jujubepass.forwarding import clocks
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)

# What arrives within this time is read at once, which saves wake-ups of collectors. It
# is a part of the 0.5 s within which what nodes run must be known.
_GATHER_SECONDS = 0.04
_DENSE_SECONDS = 0.06
# Datagrams of a burst that are read before other tasks run.
_MAX_BURST = 64
# Pause after a full burst. It bounds what a flood takes of a core, and lets a collector
# read the five reports a second of more than 2,000 nodes.
_BURST_PAUSE_SECONDS = 0.005
# Room for the reports of a failure domain's nodes and for some views; the kernel may
# grant less.
_BUFFER_BYTES = 262_144
_REBIND_INTERVAL_SECONDS = 5.0
_IDLE_CHECK_INTERVAL_SECONDS = 1.0
_LOOKUP_TIMEOUT_SECONDS = 1.0
_LOOKUP_RETRY_SECONDS = 10.0
_MAX_DATAGRAM_BYTES = 65_536

_Target = tuple[str, int]
# Alias, because a field has the same name as the module.
_Controller = controller.CapacityController


@attrs.define(kw_only=True)
class DatagramLink:
    """Carry the controller's datagrams over one UDP socket."""

    controller: _Controller
    address: _http_client.Address | None
    """Address that the node's row names; None if there is none."""
    send_failures: int = attrs.field(default=0, init=False)
    receive_failures: int = attrs.field(default=0, init=False)
    _hosts: dict[str, str] = attrs.field(factory=dict, init=False)
    """IP addresses of hosts that rows name."""
    _lookups_failed_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _wake: trio.Event = attrs.field(factory=trio.Event, init=False)
    _is_failure_logged: bool = attrs.field(default=False, init=False)

    async def run(self) -> None:
        """Share this node's use while that is needed, until cancelled."""
        self.controller.on_urgent = lambda: self._wake.set()
        self.controller.has_address = self.address is not None
        while True:
            self.controller.poll(clocks.read_boot_clock())
            if not self.controller.is_in_use or self.address is None:
                await trio.sleep(_IDLE_CHECK_INTERVAL_SECONDS)
                continue
            bound = await self._bind(self.address)
            if bound is None:
                await trio.sleep(_REBIND_INTERVAL_SECONDS)
                continue
            with bound:
                await self._exchange(bound)

    async def _bind(self, address: _http_client.Address) -> socket.socket | None:
        """Return a bound socket; None, and one line, if there can be none."""
        bound = None
        try:
            host = await self._find_host(address.host)
            if host is None:
                raise OSError(f"no IP address of {address.host}")
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            bound = socket.socket(family, socket.SOCK_DGRAM)
            bound.setblocking(False)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
            bound.bind((host, address.port))
        except OSError as error:
            if bound is not None:
                bound.close()
            if not self._is_failure_logged:
                _LOGGER.warning(
                    "no shared view: UDP is not available",
                    extra={"address": str(address), "detail": str(error)[:200]},
                )
            self._is_failure_logged = True
            return None
        self._is_failure_logged = False
        return bound

    async def _exchange(self, bound: socket.socket) -> None:
        """Send and receive until the view is no longer needed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, bound)
            while self.controller.is_in_use:
                self._wake = trio.Event()
                now = clocks.read_boot_clock()
                for each in self.controller.poll(now):
                    await self._send(bound, each)
                delay = self.controller.find_delay(clocks.read_boot_clock())
                with trio.move_on_after(delay):
                    await self._wake.wait()
            nursery.cancel_scope.cancel()

    async def _receive(self, bound: socket.socket) -> None:
        read_at = float("-inf")
        while True:
            await trio.lowlevel.wait_readable(bound)
            is_dense = trio.current_time() - read_at < _DENSE_SECONDS
            while count := self._read_burst(bound):
                if count == _MAX_BURST:
                    await trio.sleep(_BURST_PAUSE_SECONDS)
                elif is_dense:
                    await trio.sleep(_GATHER_SECONDS)
                else:
                    break
            read_at = trio.current_time()

    def _read_burst(self, bound: socket.socket) -> int:
        """Read what has arrived; return the number of datagrams."""
        for number in range(_MAX_BURST):
            try:
                data = bound.recv(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return number
            except OSError:
                # An earlier datagram found nothing at its address.
                self.receive_failures += 1
                continue
            self.controller.receive(data, clocks.read_boot_clock())
        return _MAX_BURST

    async def _send(self, bound: socket.socket, datagram: outbox.Datagram) -> None:
        host = await self._find_host(datagram.address.host)
        if host is None:
            self.send_failures += 1
            return
        try:
            bound.sendto(datagram.data, (host, datagram.address.port))
        except OSError:
            # The next datagram replaces this one.
            self.send_failures += 1

    async def _find_host(self, host: str) -> str | None:
        """Return a host's IP address, looked up once; None if it has none."""
        known = self._hosts.get(host)
        if known is not None:
            return known
        try:
            ipaddress.ip_address(host)
        except ValueError:
            found = await self._look_up(host)
        else:
            found = host
        if found is not None:
            self._hosts[host] = found
        return found

    async def _look_up(self, host: str) -> str | None:
        failed_at = self._lookups_failed_at.get(host, float("-inf"))
        if clocks.read_boot_clock() - failed_at < _LOOKUP_RETRY_SECONDS:
            return None
        try:
            with trio.fail_after(_LOOKUP_TIMEOUT_SECONDS):
                found = await trio.socket.getaddrinfo(host, None, socket.AF_INET)
            return str(found[0][4][0])
        except (OSError, trio.TooSlowError):
            self._lookups_failed_at[host] = clocks.read_boot_clock()
            return None
