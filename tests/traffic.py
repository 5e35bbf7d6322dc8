"""Callers that send requests through a balancer that checks /readyz."""

import itertools
import threading
import time

from jujubepass.transport import _http_client
from standins import model, processes, system

PROMPT = "the lift hums and stops between floors"
TOKENS = 10
CHECK_INTERVAL_SECONDS = 0.1
# Keeps each thread below the rate limit of the basic account.
REQUEST_INTERVAL_SECONDS = 0.03


class Balancer:
    """Choose the nodes in turn that were ready at the last check."""

    def __init__(self, *, trial):
        self._trial = trial
        self._turns = itertools.count()
        self.ready = list(trial.nodes)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._check_nodes, daemon=True)
        self._thread.start()

    def _check_nodes(self):
        while not self._stopped.wait(CHECK_INTERVAL_SECONDS):
            self.ready = [
                node
                for node, ports in list(self._trial.nodes.items())
                if processes.returns_ok(ports.callers, "/readyz")
            ]

    def choose(self):
        ready = self.ready
        return ready[next(self._turns) % len(ready)] if ready else None

    def stop(self):
        self._stopped.set()
        self._thread.join()


class Traffic:
    """Send requests from one thread for each kind and record the outcomes."""

    def __init__(self, *, trial, kinds=("prompt", "booking", "lookup")):
        self._trial = trial
        self.balancer = Balancer(trial=trial)
        self.answered = dict.fromkeys(kinds, 0)
        self.faults = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(kind,), daemon=True)
            for kind in kinds
        ]
        for thread in self._threads:
            thread.start()

    def _send_requests(self, kind):
        for count in itertools.count():
            if self._stopped.wait(REQUEST_INTERVAL_SECONDS):
                return
            node = self.balancer.choose()
            if node is None:
                time.sleep(CHECK_INTERVAL_SECONDS)
                continue
            try:
                fault = getattr(self, f"_ask_{kind}")(node, count)
            except _http_client.ClientError as error:
                fault = repr(error)
            if fault:
                self.faults.append((kind, node, fault))
            else:
                self.answered[kind] += 1

    def _ask_prompt(self, node, count):
        prompt = f"{PROMPT} {count}"
        answer = self._trial.send_model_request(node, prompt, max_tokens=TOKENS)
        if answer.status != 200:
            return answer.body.decode()
        expected = model.expected_tokens(
            system.MODEL, prompt.split(), TOKENS, system.LAYERS
        )
        text = answer.read_json()["choices"][0]["text"]
        return None if text.split() == list(expected) else f"wrong: {text}"

    def _ask_booking(self, node, count):
        answer = self._trial.send_call(node, f"visit-{count}", {"count": count})
        return None if answer.status == 200 else answer.body.decode()

    def _ask_lookup(self, node, count):
        answer = self._trial.send_lookup(node, f"/services/records/lifts/{count}")
        return None if answer.status == 200 else answer.body.decode()

    def wait_for_more(self, count=5):
        """Wait until each kind of request was answered `count` more times."""
        wanted = {kind: done + count for kind, done in self.answered.items()}
        processes.wait_for(
            lambda: all(self.answered[kind] >= wanted[kind] for kind in wanted),
            f"more answers than {self.answered}; faults {self.faults[:5]}",
        )

    def stop(self):
        """Wait for the running requests and return the faults."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        self.balancer.stop()
        return self.faults
