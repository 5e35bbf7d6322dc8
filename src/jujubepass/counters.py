"""Interface of the counters that controllers update."""

import typing

from jujubepass import reasons


class Counters(typing.Protocol):
    """Count events by reason and record times of tokens."""

    def count_refusal(self, reason: reasons.RefusalReason) -> None:
        """Count one refusal."""

    def count_retry(self, reason: reasons.RetryReason) -> None:
        """Count one retry."""

    def count_dropped_token(self, reason: reasons.DropReason) -> None:
        """Count one dropped token."""

    def count_unknown_outcome(self, cause: reasons.UnknownCause) -> None:
        """Count one call that ended with an unknown outcome."""

    def count_tokens(self, count: int) -> None:
        """Count tokens delivered to callers."""

    def observe_first_token(self, seconds: float) -> None:
        """Record the time from a model request to its first token."""

    def observe_between_tokens(self, seconds: float) -> None:
        """Record the time between two tokens of one answer."""

    def observe_recovery(self, seconds: float) -> None:
        """Record the time between the tokens around a replaced attempt."""
