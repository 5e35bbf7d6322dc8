"""Callers of a simulated fleet, and the prompts that they send."""

FIRST_PART = "system"
COMMON_PARTS = tuple(f"common-{number}" for number in range(12))


class Responder:
    """Accept an answer without a connection."""

    started = False
    retry_after_seconds = None

    async def start_fields(self, status, fields):
        self.started = True

    async def write(self, data):
        assert self.started

    async def finish(self):
        assert self.started

    async def send_fields(self, status, fields, body):
        self.started = True

    async def send_problem(
        self, status, code, detail, *, retry_after_seconds=None, fields=()
    ):
        self.retry_after_seconds = retry_after_seconds


def draw_sound(random_source):
    return (FIRST_PART, *random_source.sample(COMMON_PARTS, 2))


def make_bad(part="bad"):
    """Return a source of prompts with a part at any place but the first."""

    def draw(random_source):
        others = [*random_source.sample(COMMON_PARTS, 2), part]
        random_source.shuffle(others)
        return (FIRST_PART, *others)

    return draw
