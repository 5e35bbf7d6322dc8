import pathlib

import attrs
import behave

from jujubepass import _ini, ids
from jujubepass.forwarding import (
    backend_list,
    clocks,
    declarations,
    engine_controllers,
    exchange,
    request_limits,
    sending,
    server_signals,
    settings,
)
from tests import small_fleet

NEW = ids.BackendServerId("s-0")
PAGE = pathlib.Path(__file__).parents[3] / "docs" / "forwarding-settings.md"
SETTINGS = """
[node]
name = n1
region = west
failure_domain = a
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
metrics = 127.0.0.1:3
[store]
address = 127.0.0.1:4
"""


@behave.given('the settings of a node with "{lines}"')
@behave.given('the settings of a node with ""')
def step_settings(context, lines=""):
    text = SETTINGS + lines.replace("] ", "]\n") + "\n"
    context.settings = settings.parse_settings("node.ini", text).unwrap()


@behave.then("its new servers have a slow start: {answer}")
def step_has_slow_start(context, answer):
    fleet = small_fleet.make_planned_fleet()
    area = fleet.blackboard.backends
    controllers = engine_controllers.EngineControllers(
        blackboard=fleet.blackboard,
        suspects=fleet.suspects,
        control=None,
        backend_list=backend_list.BackendController(area=area),
        suspect_table=None,
        secret_table=None,
        permit_transport=None,
        token="token",
        address=None,
        shares_view=True,
        has_slow_start=context.settings.pace.slow_start,
    )
    declared = fleet.blackboard.configuration.declarations
    accounts = {
        name: declarations.Account(name=ids.AccountId(name), priority=priority)
        for priority, name in enumerate(("ana", "ben"))
    }
    fleet.blackboard.configuration.declarations = attrs.evolve(
        declared, accounts=accounts
    )
    controllers.pacing.update(fleet.now)
    started_at = round(clocks.read_wall_clock() * 1_000.0)
    name = next(each.name for each in area.listed.values() if each.held is not None)
    area.listed[name] = attrs.evolve(area.listed[name], started_at=started_at)
    area.revision += 1
    controllers.pacing.update(fleet.now)
    expected = {"yes": [name], "no": []}[answer]
    assert controllers.pacing.pace.list_starting() == expected, name
    has_view = controllers.pacing.pace.view is controllers.capacity.view
    assert has_view == (answer == "yes")


@behave.then("docs/forwarding-settings.md says that slow_start is false")
def step_page_of_pace(context):
    section = PAGE.read_text().partition("## [pace]")[2].partition("## ")[0]
    rule = _ini.get_rule(attrs.fields(settings.Pace).slow_start)
    line = f"| `slow_start` | false | true or false | {rule.meaning} |"
    assert line in section.splitlines(), line


@behave.when("the returned server refuses a request with {refusal}")
def step_refuses(context, refusal):
    own = context.choice.pacing
    own.update(context.now)
    head = exchange.AnswerHead(
        kind=exchange.AnswerKind.NOT_RUN,
        status=int(refusal[:3]),
        fields=(),
        is_leaving="leaves" in refusal,
        retry_after_seconds=1.0 if "wait" in refusal else None,
    )
    area = own.blackboard.backends
    sender = sending.Sender(
        client=None,
        wire=None,
        signals=server_signals.ServerSignals(
            area=area,
            backend_list=backend_list.BackendController(area=area),
            silences=context.choice.silences,
            limits=request_limits.RequestLimits(area=area),
            pacing=own,
        ),
    )
    attempt = exchange.Attempt(
        backend=NEW, account=None, priority=0, remaining_seconds=1.0
    )
    sender._record_pace(attempt, head, context.now)


@behave.then("it is taken for full: {answer}")
def step_full(context, answer):
    places = context.choice.pacing.pace.read_places(NEW, clocks.read_boot_clock())
    assert places == {"yes": 0.0, "no": 2.0}[answer], places
