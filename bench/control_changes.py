"""Cost of control against the rate of configuration changes."""

import time

from bench import control, experiments, results, trials, usage
from jujubepass.transport import _http_client
from standins import processes, system

_SECONDS_PER_DAY = 86_400
_CHANGES_PER_DAY = 25_000
_FIGURES = (
    "core_share",
    "platform_sent_bytes_per_second",
    "platform_received_bytes_per_second",
    "peers_sent_bytes_per_second",
    "store_calls_per_second",
)


def run(options: experiments.Options) -> results.Result:
    """Measure changes at the target rate and ten times it, with accounts in force."""
    seconds = options.choose(10.0, 1.0)
    accounts = options.choose((100, 1_000), (5,))
    target = _CHANGES_PER_DAY / _SECONDS_PER_DAY
    result = results.Result(
        name="control-changes",
        seed=options.seed,
        parameters={"seconds": seconds, "nodes": 3, "engines": 4},
        plot=results.Plot(x="changes_per_second", y="core_share", series="accounts"),
    )
    for count in accounts:
        shape = trials.Shape(nodes=options.choose(3, 1), engines=4)
        with trials.start_system(shape, options.first_port) as started:
            trials.wait_for_engines(started)
            number = trials.declare_accounts(started, count, number=1)
            changer = Changer(started=started, number=number)
            for rate in (0.0, target, 10 * target):
                _measure(result, changer, count, rate, seconds)
    for count in accounts:
        _summarize(result, count)
    return result


def _summarize(result: results.Result, accounts: int) -> None:
    rows = [row for row in result.rows if row["accounts"] == accounts]
    rates = [row["changes_per_second"] for row in rows]
    for column in _FIGURES:
        line = usage.fit_line(rates, [row[column] for row in rows])
        key = f"{column}_per_change_a_second_at_{accounts}_accounts"
        result.summary[key] = line["slope"]
    slowest = max(row["in_force_seconds"] for row in rows)
    result.summary[f"slowest_in_force_seconds_at_{accounts}_accounts"] = slowest


def _measure(
    result: results.Result,
    changer: "Changer",
    accounts: int,
    rate: float,
    seconds: float,
) -> None:
    changer.accepted = changer.refused = 0
    usages = trials.measure_nodes(
        changer.started, seconds, lambda: changer.apply_at(rate, seconds)
    )
    row = control.describe(control.summarize(usages))
    result.add(
        accounts=accounts,
        changes_per_second=rate,
        accepted_per_second=changer.accepted / seconds,
        refused=changer.refused,
        in_force_seconds=changer.measure_in_force(),
        **row,
    )


class Changer:
    """Apply changes of one client account in sequence, through one node."""

    def __init__(self, *, started: system.System, number: int) -> None:
        self.started = started
        self.accepted = 0
        self.refused = 0
        self._number = number
        self._changes = 0

    def apply_at(self, rate: float, seconds: float) -> None:
        """Apply changes at a steady rate; drop those left after `seconds`."""
        began = time.monotonic()
        for index in range(round(rate * seconds)):
            time.sleep(max(0.0, began + index / rate - time.monotonic()))
            if time.monotonic() > began + seconds:
                return
            self.apply()

    def apply(self) -> None:
        """Apply one change of the account's key."""
        self._changes += 1
        key = f"changed-{self._changes}"
        sections = {"account bench-0": system.declare_account(key)}
        try:
            self._number = self.started.apply(sections, base=self._number)
            self.accepted += 1
        except (processes.TrialError, _http_client.ClientError):
            self.refused += 1
            self._number = self._read_number()

    def _read_number(self) -> int:
        status = self.started.read_status(next(iter(self.started.nodes)))
        return int(status["nodes"][0]["configuration_number"])

    def measure_in_force(self) -> float:
        """Return the seconds from sending a change until every node has it in force."""
        self._number = self._read_number()
        began = time.monotonic()
        self.apply()
        self.started.wait_for_number(self._number)
        return time.monotonic() - began
