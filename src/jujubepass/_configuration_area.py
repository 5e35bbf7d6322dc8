"""Blackboard area of the configuration; written by the configuration controller."""

import attrs

from jujubepass import declarations, ids

NO_CHANGE = ids.ChangeNumber(0)


@attrs.define(kw_only=True)
class ConfigurationArea:
    """Hold the configuration in force on this node."""

    number: ids.ChangeNumber = NO_CHANGE
    digest: str = ""
    declared: declarations.Declarations = attrs.field(factory=declarations.Declarations)
