import pathlib
import re
import tempfile

import behave

from jujubepass.forwarding import settings
from jujubepass.operators import _local_commands, _report
from jujubepass.transport import _http_client

ROOT = pathlib.Path(__file__).resolve().parents[3]


@behave.then("settings of a forwarding node with three errors report each of them")
def step_three_errors(context):
    text = (
        "[node]\nname = n 1\nregion = r\nfailure_domain = a\n"
        "[listen]\ncallers = nowhere\nreadiness = 127.0.0.1:2\nmetrics = 127.0.0.1:3\n"
        "[store]\naddress = 127.0.0.1:4\nadress = 127.0.0.1:4\n"
    )
    problems = settings.parse_settings("node.ini", text).failure().problems
    places = [(each.section, each.key) for each in problems]
    assert places == [("node", "name"), ("listen", "callers"), ("store", "adress")]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.ini"
        path.write_text(text)
        found = _local_commands.check(path, ())
    assert found.code is _report.ExitCode.BAD_INPUT, found
    assert len(found.lines) == 3, found


# Fields that the platform fills into the settings template.
TEMPLATE_FIELDS = {
    "nodeName": "edge-uy-sur-centro-1",
    "region": "uy-sur",
    "zone": "uy-sur-centro",
    "bootstrap": "true",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "ip": "10.1.0.40",
    "platform.address": "10.200.1.7:8223",
    "internalPorts.0": "7340",
    "bounds.revokeMs": "5000",
    "bounds.configApplyMs": "3000",
    "bounds.drainMs": "4000",
    "bounds.graceS": "8",
    "bounds.retryBudget": "0.2",
    "bounds.budgetSlack": "202",
    "bounds.budgetWindowS": "10",
    "limits.memoryMb": "552",
    "limits.maxFds": "4200",
}


@behave.then("the settings made from the platform's template are accepted")
def step_template(context):
    template = (ROOT / "deploy" / "node.ini.template").read_text()
    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        lambda found: found[2].replace("{{.}}", TEMPLATE_FIELDS[found[1]]),
        template,
        flags=re.DOTALL,
    )
    text = re.sub(r"\{\{([\w.]+)\}\}", lambda found: TEMPLATE_FIELDS[found[1]], text)
    read = settings.parse_settings("node.ini", text).unwrap()
    assert read.bounds.revocation_milliseconds == 5_000, read
    assert read.bounds.configuration_milliseconds == 3_000, read
    assert read.bounds.drain_milliseconds == 4_000, read
    assert read.listen.callers == _http_client.parse_address("10.1.0.40:8227")
    assert read.listen.relay == _http_client.parse_address("10.1.0.40:7340")
    assert read.limits == settings.Limits(memory_megabytes=552, descriptors=4_200)
    assert read.node.first_start, read
