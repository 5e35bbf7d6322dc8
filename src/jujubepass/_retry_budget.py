"""Budget that bounds retries to a share of the traffic."""

import attrs

_RATIO = 0.1
_LARGEST = 10.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Earn a part of a retry with each request; a retry spends a whole one."""

    ratio: float = _RATIO
    largest: float = _LARGEST
    _left: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._left = self.largest

    def earn(self) -> None:
        """Count a request."""
        self._left = min(self.largest, self._left + self.ratio)

    def spend(self) -> bool:
        """Take one retry; return False when there is none."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
