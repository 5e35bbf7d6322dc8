"""Decides when an attempt is in trouble and what its successor keeps."""

import typing

import attrs

from jujubepass.answers import _answer_area

_TARGET_TOKEN_SECONDS = 0.030
_TOKENS_TO_PROBE = 2.5
_TOKENS_TO_STALL = 12.0
_SHORTEST_PROBE_SECONDS = 0.06
_FIRST_TOKEN_FACTOR = 2.0
_FIRST_TOKEN_STALL_SECONDS = 3.0
_SLOW_FACTOR = 2.0


@attrs.frozen(kw_only=True)
class SilenceBounds:
    """Hold how long an attempt may be silent."""

    probe_seconds: float
    stall_seconds: float


class RecoveryPolicy(typing.Protocol):
    """Choose how answers get over faults."""

    @property
    def finds_faulty_stages(self) -> bool:
        """Tell whether stages are probed, and healthy ones kept."""

    def bound_silence(self, answer: _answer_area.Answer) -> SilenceBounds:
        """Return how long the current attempt may be silent."""

    def is_slow(self, answer: _answer_area.Answer) -> bool:
        """Tell whether tokens come slower than predicted and wanted."""

    def list_kept_tokens(self, answer: _answer_area.Answer) -> tuple[str, ...]:
        """Return the tokens that the next attempt goes on from."""


@attrs.frozen(kw_only=True)
class ResumePolicy:
    """Go on from the next position, and replace what is to blame only."""

    longest_stall_seconds: float
    finds_faulty_stages: bool = True

    def bound_silence(self, answer: _answer_area.Answer) -> SilenceBounds:
        """Derive the bounds from the predicted times and the token target."""
        if not answer.attempt_has_token:
            probe = _FIRST_TOKEN_FACTOR * answer.first_token_seconds
            probe += _SHORTEST_PROBE_SECONDS
            stall = probe + _FIRST_TOKEN_STALL_SECONDS
        else:
            expected = max(
                _TARGET_TOKEN_SECONDS, answer.token_seconds, answer.gap_seconds
            )
            probe = max(_SHORTEST_PROBE_SECONDS, _TOKENS_TO_PROBE * expected)
            stall = max(self.longest_stall_seconds, _TOKENS_TO_STALL * expected)
        return SilenceBounds(
            probe_seconds=probe * answer.patience, stall_seconds=stall * answer.patience
        )

    def is_slow(self, answer: _answer_area.Answer) -> bool:
        """Compare the mean gap with the prediction and the target."""
        usual = max(_TARGET_TOKEN_SECONDS, _SLOW_FACTOR * answer.token_seconds)
        return answer.attempt_has_token and answer.gap_seconds > usual

    def list_kept_tokens(self, answer: _answer_area.Answer) -> tuple[str, ...]:
        """Keep all that the caller has."""
        return tuple(answer.sent)
