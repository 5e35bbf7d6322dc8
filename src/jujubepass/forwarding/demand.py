"""Model requests that run at this node, beside those at other nodes."""

import attrs

from jujubepass.forwarding import homes

_MEMORY_SECONDS = 3.0


@attrs.frozen(kw_only=True)
class _HeardMean:
    streams: float
    heard_at: float


@attrs.define(kw_only=True)
class Demand:
    """Count model requests and compare them with those of other nodes.

    Homes of limited servers tell the mean of the nodes that ask them for permits.
    """

    streams: int = 0
    """Model requests that run at this node."""
    _heard: dict[homes.ServerRun, _HeardMean] = attrs.field(factory=dict, init=False)

    def record_mean(self, server: homes.ServerRun, streams: float, now: float) -> None:
        """Record the mean of the nodes that ask for a server's permits."""
        self._heard[server] = _HeardMean(streams=streams, heard_at=now)

    def estimate_mean(self, now: float) -> float:
        """Estimate how many model requests run at each node on average."""
        oldest = now - _MEMORY_SECONDS
        for server, each in list(self._heard.items()):
            if each.heard_at < oldest:
                del self._heard[server]
        if not self._heard:
            return float(self.streams)
        return sum(each.streams for each in self._heard.values()) / len(self._heard)
