"""Assembly of a forwarding node: followers, controllers, listeners and shutdown."""

import collections
import collections.abc
import logging
import os
import signal
import typing

import attrs
import trio

from jujubepass import __version__, ids
from jujubepass.forwarding import (
    adapters,
    admission,
    announcing,
    backend_list,
    board,
    clocks,
    configuration,
    engine_controllers,
    feeds,
    following,
    forwarder,
    listeners,
    measures,
    members,
    planner,
    planning,
    readiness,
    reloading,
    retry_allowance,
    sending,
    service_choice,
    service_exchange,
    settings,
    stopping,
    stream_exchange,
    suspicion,
    tasks,
)
from jujubepass.limits import _retry_budget
from jujubepass.relay import assembly, links, permit_links
from jujubepass.transport import _http_client, _http_server

_LOGGER = logging.getLogger(__name__)

_Item = typing.TypeVar("_Item")

# Maximum wait for changes of plans. An outdated plan only makes a pipeline fail once.
_MAX_PLANS_WAIT_SECONDS = 20.0
_MAX_SUSPECTS_WAIT_SECONDS = 20.0
# Interval after changes of the list, as engines register one by one during a start. All
# nodes together read it at this rate, but each soon enough to use a draining engine for
# another second and keep to the two in which it may receive requests.
_MIN_BACKENDS_INTERVAL_SECONDS = 0.25
_MAX_BACKENDS_INTERVAL_SECONDS = 0.75
_BACKENDS_READS_PER_SECOND = 20.0
# Time before SIGKILL at which running answers are aborted and the process ends.
_EXIT_MARGIN_SECONDS = 0.4
# The load balancer removes a node after two failed health checks, one second apart.
# Requests that arrive up to three seconds after SIGTERM must still be served.
_BALANCER_REMOVAL_SECONDS = 3.2
_DRAIN_POLL_INTERVAL_SECONDS = 0.1
_PERIODIC_INTERVAL_SECONDS = 0.1


class Node:
    """Assemble and run the components of a forwarding node."""

    def __init__(
        self,
        *,
        settings: settings.Settings,
        source: settings.Source,
        adapter: adapters.Adapter,
        client: _http_client.Client,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.client = client
        self.measures = measures.Measures()
        self.suspects = suspicion.Suspects()
        node = settings.node
        self.blackboard = board.Blackboard(
            node=node.name,
            failure_domain=node.failure_domain,
            bounds=settings.bounds,
            is_cold_start=node.first_start,
            is_first_start=node.first_start,
        )
        self._reloader = reloading.SettingsController(
            blackboard=self.blackboard, source=source, in_force=settings
        )
        self._allowance = retry_allowance.RetryAllowance(blackboard=self.blackboard)
        self._make_relay()
        self._make_controllers()
        self._decoded_feeds: dict[str, feeds.DecodedFeed[typing.Any]] = {}
        self._make_followers()
        self._budgets: collections.defaultdict[
            ids.ServiceId, _retry_budget.RetryBudget
        ] = collections.defaultdict(self._make_budget)
        self._answers = stopping.RunningAnswers()
        self._listeners = self._make_listeners()
        self._callers = self._listeners.callers

    def _make_listeners(self) -> listeners.Listeners:
        made = listeners.Listeners(settings=self.settings)
        made.add_handlers(
            listeners.Handlers(
                callers=self._make_forwarder(),
                readiness=self._readiness,
                metrics=self._expose,
                relay=self._node_server,
            )
        )
        return made

    def _make_controllers(self) -> None:
        self._admission_control = admission.Admission(blackboard=self.blackboard)
        self._readiness = readiness.Readiness(
            blackboard=self.blackboard, admission_control=self._admission_control
        )
        self._backend_list = backend_list.BackendController(
            area=self.blackboard.backends, find_wait=self._relay.find_backends_wait
        )
        self._engines = engine_controllers.EngineControllers(
            blackboard=self.blackboard,
            suspects=self.suspects,
            control=self.adapter.control,
            backend_list=self._backend_list,
            suspect_table=self.adapter.suspect_table,
            secret_table=self.adapter.secret_table,
            permit_transport=permit_links.HttpTransport(client=self.client),
            token=self._relay.token,
            address=self.settings.listen.relay,
            shares_view=self.settings.shortage.shared_view,
            has_queue=self.settings.shortage.queue,
            has_slow_start=self.settings.pace.slow_start,
        )
        self._node_server = permit_links.NodeServer(
            rows=self._relay.server,
            permits=permit_links.PermitServer(
                home=self._engines.permits.home, token=self._relay.token
            ),
        )

    def _make_relay(self) -> None:
        adapter = self.adapter
        self._relay = assembly.Relay(
            blackboard=self.blackboard,
            stores={
                "configuration": adapter.configuration.rows,
                "backends": adapter.backends.rows,
                "plans": adapter.plans.rows,
                "members": adapter.members.rows,
                "prompts": adapter.suspects.rows,
            },
            transport=links.HttpTransport(client=self.client),
            address=self.settings.listen.relay,
        )

    def _relay_rows(
        self, name: str, feed: feeds.DecodedFeed[_Item]
    ) -> feeds.DecodedFeed[_Item]:
        """Return a feed that gets its rows from the relay."""
        relayed = attrs.evolve(feed, rows=self._relay.feeds[name])
        self._decoded_feeds[name] = relayed
        return relayed

    def _make_announcer(self) -> None:
        self._announcer = announcing.Announcer(
            blackboard=self.blackboard,
            controller=members.MemberController(blackboard=self.blackboard),
            table=self.adapter.member_table,
            feed=self._relay_rows("members", self.adapter.members),
            address=self.settings.listen.relay,
            token=self._relay.token,
            reads_store=self._relay.reads_store,
            wait_for_era=self._relay.area.wait_for_era,
        )

    def _make_followers(self) -> None:
        installer = configuration.ConfigurationController(
            area=self.blackboard.configuration
        )
        self._planning = planning.Planning(
            blackboard=self.blackboard,
            controller=planner.PlanController(
                blackboard=self.blackboard, suspects=self.suspects
            ),
            table=self.adapter.table,
        )
        self._make_announcer()
        self._configuration = following.Follower(
            name="configuration",
            feed=self._relay_rows("configuration", self.adapter.configuration),
            find_wait=self._relay.find_configuration_wait,
            apply=installer.apply,
        )
        self._backends = following.Follower(
            name="backends",
            feed=self._relay_rows("backends", self.adapter.backends),
            find_wait=self._relay.find_backends_wait,
            apply=self._backend_list.apply,
            find_batch_interval=self._find_backends_interval,
            on_recovery=self._backend_list.record_store_recovery,
        )
        self._plans = following.Follower(
            name="plans",
            feed=self._relay_rows("plans", self.adapter.plans),
            find_wait=lambda: _MAX_PLANS_WAIT_SECONDS,
            apply=self._planning.apply,
        )
        self._suspect_rows = following.Follower(
            name="prompts",
            feed=self._relay_rows("prompts", self.adapter.suspects),
            find_wait=lambda: _MAX_SUSPECTS_WAIT_SECONDS,
            apply=self._engines.quarantine.apply,
        )

    def _count_unreadable(self) -> dict[str, int]:
        return {
            name: each.unreadable_rows for name, each in self._decoded_feeds.items()
        }

    def _find_backends_interval(self) -> float:
        return members.share_interval(
            self._relay.controller.count_readers(),
            per_second=_BACKENDS_READS_PER_SECOND,
            least=_MIN_BACKENDS_INTERVAL_SECONDS,
            most=_MAX_BACKENDS_INTERVAL_SECONDS,
        )

    def _make_forwarder(self) -> forwarder.Forwarder:
        sender = sending.Sender(
            client=self.client, wire=self.adapter.wire, signals=self._engines.signals
        )
        return forwarder.Forwarder(
            blackboard=self.blackboard,
            wire=self.adapter.wire,
            admission_control=self._admission_control,
            services=service_exchange.ServiceExchange(
                sender=sender,
                admission_control=self._admission_control,
                choice=service_choice.ServiceChoice(
                    blackboard=self.blackboard,
                    suspects=self.suspects,
                    silences=self._engines.silences,
                    pacing=self._engines.pacing,
                ),
                permits=self._engines.permits,
                guard=self._engines.guard,
                suspects=self.suspects,
                budgets=self._budgets,
                count_retry=self.measures.count_retry,
                answers=self._answers,
            ),
            streams=stream_exchange.StreamExchange(
                sender=sender,
                admission_control=self._admission_control,
                choice=self._engines.choice,
                claims=self._engines.claims,
                suspects=self.suspects,
                stalls=self._engines.stalls,
                guard=self._engines.guard,
                budgets=self._budgets,
                count_retry=self.measures.count_retry,
                observe_first_event=self.measures.observe_first_event,
                answers=self._answers,
            ),
            guard=self._engines.guard,
            measures=self.measures,
            refresh_configuration=self._refresh_configuration,
        )

    def _make_budget(self) -> _retry_budget.RetryBudget:
        bounds = self._allowance.find_bounds(clocks.read_boot_clock())
        return _retry_budget.RetryBudget(bounds=bounds)

    def _update_budgets(self) -> None:
        """Apply changed bounds and numbers of nodes to the retry budgets."""
        bounds = self._allowance.find_bounds(clocks.read_boot_clock())
        for budget in self._budgets.values():
            budget.bounds = bounds

    async def _refresh_configuration(self, timeout_seconds: float) -> None:
        with trio.move_on_after(timeout_seconds):
            await self._configuration.read_now()

    async def run(self) -> None:
        """Run until SIGTERM, then complete running requests."""
        listen = self.settings.listen
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                for follower in (
                    self._configuration,
                    self._backends,
                    self._plans,
                    self._suspect_rows,
                ):
                    nursery.start_soon(tasks.run_with_restarts, follower.run)
                for task in (
                    self._announcer.run,
                    self._relay.link.run,
                    self._engines.permits.run,
                    self._engines.datagram_link.run,
                    self._planning.run,
                    self._engines.sharing.run,
                    self._engines.orders.run,
                    self._engines.stalls.run,
                    self._engines.prober.run,
                    self._engines.evacuation.run,
                    self._run_periodic_tasks,
                ):
                    nursery.start_soon(tasks.run_with_restarts, task)
                await self._listeners.start(nursery)
                _LOGGER.info(
                    "node started",
                    extra={
                        "node": self.settings.node.name,
                        "callers": str(listen.callers),
                        "process_id": os.getpid(),
                        "first_start": self.settings.node.first_start,
                    },
                )
                await self._wait_for_stop(signals)
                await self._shut_down()
                nursery.cancel_scope.cancel()
        _LOGGER.info("node stopped", extra={"node": self.settings.node.name})

    async def _wait_for_stop(self, signals: collections.abc.AsyncIterator[int]) -> None:
        async for received in signals:
            if received == signal.SIGTERM:
                return
            self._reloader.reload()

    async def _shut_down(self) -> None:
        """Wait until callers use other nodes and running requests have ended."""
        began = clocks.read_boot_clock()
        self._readiness.drain()
        self._callers.drain()
        end = began + self.blackboard.bounds.shutdown_seconds - _EXIT_MARGIN_SECONDS
        self._answers.stop(end)
        await trio.sleep(min(_BALANCER_REMOVAL_SECONDS, end - began))
        self._callers.stop()
        # Connections that are left serve a request, or receive one.
        while self._callers.connections and clocks.read_boot_clock() < end:
            await trio.sleep(_DRAIN_POLL_INTERVAL_SECONDS)
        _LOGGER.info(
            "node drained",
            extra={
                "seconds": round(clocks.read_boot_clock() - began, 2),
                "running": self._callers.running_requests,
            },
        )

    async def _run_periodic_tasks(self) -> None:
        """Run periodic tasks until cancelled."""
        while True:
            await clocks.sleep_until_tick(_PERIODIC_INTERVAL_SECONDS)
            self._backend_list.remove_missing(clocks.read_boot_clock())
            area = self.blackboard.backends
            while area.restarted:
                self.suspects.clear(area.restarted.pop())
            self._engines.pacing.update(clocks.read_boot_clock())
            self._readiness.check()
            self._reloader.check(clocks.read_boot_clock())
            self._update_budgets()
            self._engines.choice.update_shared(clocks.read_boot_clock())
            self._apply_limits()

    def _apply_limits(self) -> None:
        declared = self.blackboard.configuration.declarations
        if declared is None:
            return
        self._listeners.apply(declared.limits)

    async def _expose(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        # OpenTelemetry is imported on first use to save memory on nodes whose metrics
        # are not read.
        from jujubepass.forwarding import metrics_page

        page = metrics_page.expose(
            version=__version__,
            measures=self.measures,
            blackboard=self.blackboard,
            client=self.client,
            engines=self._engines,
            budgets=self._budgets,
            relay=self._relay,
            ledger=self._listeners.gate.ledger,
            count_eras=self.adapter.count_eras,
            count_unreadable=self._count_unreadable,
        )
        await responder.send(200, page.data, content_type=page.content_type)
