import os

import hypothesis

DEFAULT_FIRST_PORT = 31_000


# Hypothesis draws the same examples in each run, so that results are reproducible.
hypothesis.settings.register_profile(
    "same", derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile("same")


def before_all(context):
    first_port = os.environ.get("JUJUBEPASS_TEST_PORT", DEFAULT_FIRST_PORT)
    context.first_port = int(first_port)
