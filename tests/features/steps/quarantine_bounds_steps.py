import behave

from jujubepass import ids
from jujubepass.quarantine import controller, suspects
from tests import small_fleet

BAD_PART = "bad"


@behave.given("a quarantine that knows no suspects")
def step_quarantine(context):
    context.quarantine = controller.Quarantine(
        blackboard=small_fleet.Fleet().blackboard
    )
    context.ended = 0


def break_request(context, parts, server, now):
    keys = suspects.list_part_keys(small_fleet.SERVICE, map(ids.PromptPartId, parts))
    run = suspects.ServerRun(server=ids.BackendServerId(server), started_at=1)
    context.quarantine.record_break(keys, [run], now)


def end_server(context, server, now):
    context.quarantine.record_end(ids.BackendServerId(server), 1, now)


@behave.when(
    "{count:d} engines end, each under a request with 900 new parts and the same bad"
    " one"
)
def step_new_parts(context, count):
    for number in range(count):
        parts = [f"{number}-{each}" for each in range(900)]
        break_request(context, [BAD_PART, *parts], f"e{number}", float(number))
        end_server(context, f"e{number}", number + 0.1)
    context.now = float(count)


@behave.when(
    "{count:d} engines end, each under 96 requests with 72 parts, the 50th one with a"
    " bad part"
)
def step_many_requests(context, count):
    for number in range(count):
        for request in range(96):
            parts = [f"{number}-{request}-{each}" for each in range(72)]
            added = [BAD_PART] if request == 49 else []
            break_request(context, [*added, *parts], f"e{number}", float(number))
        end_server(context, f"e{number}", number + 0.1)
    context.now = float(count)


@behave.then("the bad part is in quarantine, and no more than 5000 suspects are known")
def step_quarantined(context):
    area = context.quarantine.blackboard.quarantine
    assert [each.part for each in area.quarantined] == [BAD_PART], area.quarantined
    assert len(area.records) <= 5_000


@behave.when("the quarantine is checked for {seconds:d} seconds")
def step_pass(context, seconds):
    for _ in range(seconds):
        context.now += 1.0
        context.quarantine.check(context.now)


@behave.then("a new suspect is shared with other nodes")
def step_shared(context):
    break_request(context, ["new"], "e-new", context.now)
    end_server(context, "e-new", context.now)
    written = set()
    while writes := context.quarantine.list_writes(context.now):
        for number, write in enumerate(writes):
            context.quarantine.record_written(write, number + 1, context.now)
            written.add(write.key.part)
    assert "new" in written, len(written)
