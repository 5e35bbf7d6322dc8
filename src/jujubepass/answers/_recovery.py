"""Policies that detect stalled attempts and choose where the next one resumes."""

import typing

import attrs

from jujubepass.answers import _answer_area

_TARGET_TOKEN_SECONDS = 0.030
_TOKEN_INTERVALS_TO_PROBE = 2.5
_TOKEN_INTERVALS_TO_STALL = 12.0
_MIN_PROBE_DELAY_SECONDS = 0.06
_FIRST_TOKEN_FACTOR = 2.0
_FIRST_TOKEN_STALL_SECONDS = 3.0
_SLOW_TOKEN_FACTOR = 2.0


@attrs.frozen(kw_only=True)
class StallBounds:
    """Configure the times without progress until an attempt is probed or replaced."""

    probe_seconds: float
    stall_seconds: float


class RecoveryPolicy(typing.Protocol):
    """Recover answers from faults."""

    @property
    def probes_stages(self) -> bool:
        """Return whether stages are probed, so that healthy ones are kept."""

    def compute_stall_bounds(self, answer: _answer_area.Answer) -> StallBounds:
        """Return the time-outs of the current attempt."""

    def is_slow(self, answer: _answer_area.Answer) -> bool:
        """Return whether tokens arrive more slowly than predicted and targeted."""

    def list_resumed_tokens(self, answer: _answer_area.Answer) -> tuple[str, ...]:
        """Return the tokens after which the next attempt resumes."""


@attrs.frozen(kw_only=True)
class ResumePolicy:
    """Resume at the next position and replace only faulty stages."""

    min_stall_seconds: float
    probes_stages: bool = True

    def compute_stall_bounds(self, answer: _answer_area.Answer) -> StallBounds:
        """Derive the time-outs from the predicted times and the token target."""
        if not answer.attempt_has_token:
            probe = _FIRST_TOKEN_FACTOR * answer.first_token_seconds
            probe += _MIN_PROBE_DELAY_SECONDS
            stall = probe + _FIRST_TOKEN_STALL_SECONDS
        else:
            expected = max(
                _TARGET_TOKEN_SECONDS,
                answer.token_seconds,
                answer.mean_interval_seconds,
            )
            probe = max(_MIN_PROBE_DELAY_SECONDS, _TOKEN_INTERVALS_TO_PROBE * expected)
            stall = max(self.min_stall_seconds, _TOKEN_INTERVALS_TO_STALL * expected)
        return StallBounds(
            probe_seconds=probe * answer.timeout_factor,
            stall_seconds=stall * answer.timeout_factor,
        )

    def is_slow(self, answer: _answer_area.Answer) -> bool:
        """Compare the mean token interval with the prediction and the target."""
        max_seconds = max(
            _TARGET_TOKEN_SECONDS, _SLOW_TOKEN_FACTOR * answer.token_seconds
        )
        return answer.attempt_has_token and answer.mean_interval_seconds > max_seconds

    def list_resumed_tokens(self, answer: _answer_area.Answer) -> tuple[str, ...]:
        """Return all tokens that the caller has received."""
        return tuple(answer.sent)
