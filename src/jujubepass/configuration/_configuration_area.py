"""Blackboard area of the configuration, written by the configuration installer."""

import collections
import collections.abc

import attrs

from jujubepass import declarations, ids
from jujubepass.configuration import _configuration_digest, _configuration_messages

NO_CHANGE = ids.ChangeNumber(0)
MAX_RECENT_CHANGES = 512


def _make_recent() -> collections.deque[_configuration_messages.Entry]:
    return collections.deque(maxlen=MAX_RECENT_CHANGES)


@attrs.define(kw_only=True)
class ConfigurationArea:
    """Describe the configuration in force on this node."""

    number: ids.ChangeNumber = NO_CHANGE
    digest: str = _configuration_digest.EMPTY
    declared: declarations.Declarations = attrs.field(factory=declarations.Declarations)
    sections: dict[str, collections.abc.Mapping[str, str]] = attrs.field(factory=dict)
    recent: collections.deque[_configuration_messages.Entry] = attrs.field(
        factory=_make_recent
    )
    caught_up: bool = False
    store_answers: bool = False
    highest_advertised: ids.ChangeNumber = NO_CHANGE
    installed_at: float = float("-inf")
    digest_mismatches: int = 0
    confirmed: dict[ids.NodeId, ids.ChangeNumber] = attrs.field(factory=dict)
