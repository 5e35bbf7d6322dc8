"""Steps for node processes and servers that a repeated request crashes."""

import collections.abc
import contextlib
import threading
import time

import attrs
import behave

from jujubepass.transport import _http_client
from standins import forwarding_system, processes

INTERVAL_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.15
# Bounds that the users require.
CONTACT_SECONDS = 3.0
ALLOWED_CRASHES = 3
ALLOWED_LATE_SENDS = 3
RECOVERY_SECONDS = 2 * CONTACT_SECONDS
MAX_REFUSAL_SECONDS = 0.5
EVENTS = 5
KEY = "ana-key-1"
ACCOUNT = forwarding_system.KEYS[KEY]


@attrs.frozen(kw_only=True)
class Request:
    """Describe a request as its servers know it, whatever its id, node or time."""

    method: str
    path: str
    body: str = ""
    key: str = KEY
    headers: collections.abc.Mapping[str, str] = attrs.field(factory=dict)

    @property
    def identity(self) -> list[str]:
        """Return what the servers recognize a request by."""
        return [self.path, ACCOUNT if self.key else "", self.body]


STREAM_FIELDS = {"x-token-count": f"100,{2 * EVENTS}", "x-model": "m"}
PART_FIELDS = {**STREAM_FIELDS, "x-prompt-prefix": "a1:40,b2:40,c3:20"}
CRASHING = {
    "lookup": Request(method="GET", path="/history/bad"),
    "lookup without a key": Request(method="GET", path="/opening-hours/bad", key=""),
    "booking": Request(
        method="POST", path=forwarding_system.BOOKING_PATH, body='{"visit": "bad"}'
    ),
    "stream": Request(
        method="POST",
        path=forwarding_system.STREAM_PATH,
        body='{"prompt": "bad"}',
        headers=STREAM_FIELDS,
    ),
    "stream with prompt parts": Request(
        method="POST",
        path=forwarding_system.STREAM_PATH,
        body='{"prompt": "bad"}',
        headers=PART_FIELDS,
    ),
}
SOUND = {
    "lookup": Request(method="GET", path=forwarding_system.LOOKUP_PATH),
    "lookup without a key": Request(
        method="GET", path=forwarding_system.OPEN_LOOKUP_PATH, key=""
    ),
    "booking": attrs.evolve(CRASHING["booking"], body='{"visit": "sound"}'),
    "stream": attrs.evolve(CRASHING["stream"], body='{"prompt": "sound"}'),
    "stream with prompt parts": attrs.evolve(
        CRASHING["stream with prompt parts"], body='{"prompt": "sound"}'
    ),
}


@attrs.frozen(kw_only=True)
class Exchange:
    """Describe one request and its answer; status 0 if there was none."""

    sent_at: float
    seconds: float
    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes


class Traffic:
    """Send requests in the background and record their answers."""

    def __init__(self, *, system):
        self._system = system
        self._threads = []
        self.crashing = []
        self.sound = []

    def send(self, node, request, found):
        """Send a request to a node, and add its exchange to a list."""
        thread = threading.Thread(
            target=lambda: found.append(self._exchange(node, request))
        )
        thread.start()
        self._threads.append(thread)

    def _exchange(self, node, request):
        sent_at, started_at = time.time(), time.monotonic()
        answer = _http_client.Answer(status=0, headers={}, body=b"")
        with contextlib.suppress(_http_client.ClientError):
            answer = self._system.send_request(
                node,
                request.method,
                request.path,
                body=request.body.encode(),
                key=request.key,
                headers=request.headers,
            )
        return Exchange(
            sent_at=sent_at,
            seconds=time.monotonic() - started_at,
            status=answer.status,
            headers=dict(answer.headers),
            body=answer.body,
        )

    def join(self):
        for thread in self._threads:
            thread.join()
        self._threads.clear()


@behave.given(
    "a system of {nodes:d} nodes on the platform, with servers that a {kind} crashes"
)
def step_system(context, nodes, kind):
    context.system = forwarding_system.ForwardingSystem(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=nodes)
    context.request, context.sound = CRASHING[kind], SOUND[kind]
    for member in forwarding_system.MEMBERS:
        processes.change_knobs(
            context.system.ports[member.name],
            crash_requests=[context.request.identity],
            # A crashed server is back at its address after a new process has started.
            crash_restart="refused",
        )
    context.traffic = Traffic(system=context.system)


@behave.when(
    "that request comes 4 times a second for {seconds:g} seconds beside sound ones"
)
def step_traffic(context, seconds):
    traffic, nodes = context.traffic, list(context.system.nodes)
    begun_at = time.monotonic()
    crashing = sound = 0
    while (elapsed := time.monotonic() - begun_at) < seconds:
        if elapsed >= crashing * INTERVAL_SECONDS:
            node = nodes[crashing % len(nodes)]
            traffic.send(node, context.request, traffic.crashing)
            crashing += 1
        if elapsed >= sound * SOUND_INTERVAL_SECONDS:
            node = nodes[sound % len(nodes)]
            traffic.send(node, context.sound, traffic.sound)
            sound += 1
        time.sleep(0.01)
    traffic.join()


def list_times(context, message):
    """Return when servers logged a message about the request, in order."""
    return sorted(
        line["at"]
        for member in forwarding_system.MEMBERS
        for line in context.system.read_log(member.name)
        if line["message"] == message
    )


def find_deadline(context):
    crashes = list_times(context, "crash")
    assert len(crashes) >= ALLOWED_CRASHES, f"{len(crashes)} crashes"
    return crashes[ALLOWED_CRASHES - 1] + CONTACT_SECONDS


@behave.then(
    "no more than {allowed:d} of its sends were later than 3 seconds after the third"
    " crash"
)
def step_sends(context, allowed):
    deadline = find_deadline(context)
    late = [at - deadline for at in list_times(context, "arrival") if at > deadline]
    crashes = len(list_times(context, "crash"))
    assert len(late) <= allowed, f"{len(late)} sends late, {crashes} crashes: {late}"


@behave.then("from then on it is refused at once as not run, without a time to retry")
def step_refused(context):
    deadline = find_deadline(context)
    late = [each for each in context.traffic.crashing if each.sent_at > deadline]
    assert late, "no request came later"
    # A trial of the request has run, and says so.
    others = [each for each in late if each.status != 503]
    assert len(others) <= ALLOWED_LATE_SENDS, others
    for each in late:
        assert each.status in (502, 503), each
        assert "retry-after" not in each.headers, each
    for each in late:
        assert each.status == 502 or each.seconds < MAX_REFUSAL_SECONDS, each


@behave.then(
    "each sound request sent later than 6 seconds after the last crash is answered"
)
def step_sound(context):
    start = list_times(context, "crash")[-1] + RECOVERY_SECONDS
    nodes = list(context.system.nodes)
    number = 0
    while time.time() < start + 2.0:
        node = nodes[number % len(nodes)]
        context.traffic.send(node, context.sound, context.traffic.sound)
        number += 1
        time.sleep(SOUND_INTERVAL_SECONDS)
    context.traffic.join()
    late = [each for each in context.traffic.sound if each.sent_at > start]
    assert len(late) >= 10, f"{len(late)} sound requests"
    for each in late:
        assert each.status == 200, each
