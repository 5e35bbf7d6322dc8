import io
import json
import logging
import unittest.mock

import behave
import hypothesis
import prometheus_client.parser
from hypothesis import strategies

from jujubepass import ids, reasons, settings
from jujubepass.telemetry import _logs, _metrics

PEER_KEY = 'peer-"key"-nobody-may-see'
TOKEN = "token-nobody-may-see"
FUZZ_EXAMPLES = 200
SENTENCES = [
    f"authorization: Bearer {TOKEN}",
    f"sent {{'Authorization': 'Bearer {TOKEN}'}}",
    f"x-api-key: {TOKEN}, then more",
    f"peer said {PEER_KEY}",
]


def read_samples(metrics):
    text = metrics.expose().decode()
    samples = {}
    for family in prometheus_client.parser.text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(f'{key}="{v}"' for key, v in sample.labels.items())
            name = f"{sample.name}{{{labels}}}" if labels else sample.name
            samples[name] = sample.value
    return samples


def set_up_logs(context, log_format):
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level

    def restore():
        root.handlers[:] = handlers
        root.setLevel(level)

    context.add_cleanup(restore)
    context.stream = io.StringIO()
    log = settings.Log(format=settings.LogFormat(log_format))
    with unittest.mock.patch("sys.stderr", context.stream):
        _logs.set_up(log, secrets=(PEER_KEY,))


@behave.given("new metrics")
def step_metrics(context):
    context.metrics = _metrics.Metrics(version="0.0.0")


@behave.then("every refusal, retry and drop reason is exposed at 0")
def step_zero(context):
    samples = read_samples(context.metrics)
    named = {
        "refusals": reasons.RefusalReason,
        "retries": reasons.RetryReason,
        "drops": reasons.DropReason,
    }
    for name, members in named.items():
        for reason in members:
            sample = f'jujubepass_{name}_total{{reason="{reason.value}"}}'
            assert samples[sample] == 0, sample


@behave.when('two "no_route" refusals and 3 times between tokens of 0.02 s are counted')
def step_count(context):
    for _ in range(2):
        context.metrics.count_refusal(reasons.RefusalReason.NO_ROUTE)
    for _ in range(3):
        context.metrics.between_tokens.observe(0.02)


@behave.then("the exposition has these samples")
def step_samples(context):
    samples = read_samples(context.metrics)
    for row in context.table:
        assert samples[row["sample"]] == float(row["value"]), row


@behave.given('logs as "{log_format}"')
def step_logs(context, log_format):
    set_up_logs(context, log_format)


@behave.when("a request's lines with secrets are logged")
def step_log(context):
    logger = logging.getLogger("jujubepass.trial")
    request, account = ids.RequestId("r1"), ids.AccountId("shop")
    with _logs.bind_fields(request=request, account=account):
        for sentence in SENTENCES:
            logger.info(sentence)
        logger.info("with fields", extra={"authorization": TOKEN, "peer_key": "pk"})
        try:
            raise ValueError(f"bad header Bearer {TOKEN}")
        except ValueError:
            logger.exception("failed with %s", f"operator_key={TOKEN}")
    context.lines = context.stream.getvalue().splitlines()


@behave.then('every line is JSON with request "{request}" and account "{account}"')
def step_json_lines(context, request, account):
    assert len(context.lines) == len(SENTENCES) + 2
    for line in context.lines:
        fields = json.loads(line)
        assert (fields["request"], fields["account"]) == (request, account)


@behave.then("the lines name request={request} and account={account}")
def step_plain_lines(context, request, account):
    first = context.lines[: len(SENTENCES)]
    assert all(f"request={request} account={account}" in line for line in first)


@behave.then("no secret is in the lines")
def step_no_secret(context):
    text = "\n".join(context.lines)
    assert TOKEN not in text and PEER_KEY not in text, text
    assert json.dumps(PEER_KEY)[1:-1] not in text, text


@behave.then("any message around a secret is logged as JSON without it")
def step_fuzz(context):
    logger = logging.getLogger("jujubepass.trial")

    @hypothesis.settings(
        max_examples=FUZZ_EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.text(), strategies.sampled_from(SENTENCES), strategies.text()
    )
    def check(before, sentence, after):
        context.stream.seek(0)
        context.stream.truncate()
        logger.info("%s %s %s", before, sentence, after)
        context.lines = context.stream.getvalue().splitlines()
        (line,) = context.lines
        assert json.loads(line)["message"]
        step_no_secret(context)

    check()
