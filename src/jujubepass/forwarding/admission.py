"""Admission of requests under a configuration that is confirmed up to date."""

import random

import attrs

from jujubepass import reasons
from jujubepass.forwarding import board, declarations, exchange

# A route or key is reported as unknown only if the configuration's age is within this
# share of the time limit for changes.
_MAX_DENIAL_AGE_SHARE = 0.75
# Interval at which the store is polled after it has failed.
_STALE_RETRY_SECONDS = 0.5
# Range of retry times while the node has no configuration. Callers that are refused
# together do not come back together.
_START_RETRY_SECONDS = (0.5, 1.5)
# Requests with a key are refused once the configuration's age exceeds this share of the
# time limit for revoked keys.
_MAX_KEYED_AGE_SHARE = 0.6


@attrs.frozen(kw_only=True)
class Refusal:
    """Describe why a request is refused and when it may be retried."""

    reason: reasons.RefusalReason
    retry_after_seconds: float | None = None


@attrs.define(kw_only=True)
class Admission:
    """Admit or refuse requests by the configuration in force and its age."""

    blackboard: board.Blackboard
    random_source: random.Random = attrs.field(factory=random.Random)

    def needs_confirmation(self, request: exchange.CallerRequest, now: float) -> bool:
        """Return whether the configuration must be read again before a refusal."""
        area = self.blackboard.configuration
        if (
            area.declarations is None
            or now - area.confirmed_at <= self._find_max_denial_age()
        ):
            return False
        found = self._decide(request, area.declarations, now)
        denials = (
            reasons.RefusalReason.UNKNOWN_ROUTE,
            reasons.RefusalReason.UNKNOWN_ACCOUNT,
        )
        return isinstance(found, Refusal) and found.reason in denials

    def admit(
        self, request: exchange.CallerRequest, now: float
    ) -> exchange.Admitted | Refusal:
        """Admit a request, or return the refusal."""
        area = self.blackboard.configuration
        if area.declarations is None:
            return Refusal(
                reason=reasons.RefusalReason.NOT_READY,
                retry_after_seconds=self.random_source.uniform(*_START_RETRY_SECONDS),
            )
        found = self._decide(request, area.declarations, now)
        is_confirmed = now - area.confirmed_at <= self._find_max_denial_age()
        if isinstance(found, Refusal) and not is_confirmed:
            return self._refuse_stale()
        return found

    def _find_max_denial_age(self) -> float:
        bound_seconds = self.blackboard.bounds.configuration_milliseconds / 1_000.0
        return _MAX_DENIAL_AGE_SHARE * bound_seconds

    def is_stale(self, now: float) -> bool:
        """Return whether a key may have been revoked unnoticed by this node."""
        bound_seconds = self.blackboard.bounds.revocation_milliseconds / 1_000.0
        age = now - self.blackboard.configuration.confirmed_at
        return age > _MAX_KEYED_AGE_SHARE * bound_seconds

    def find_account(
        self, request: exchange.CallerRequest
    ) -> declarations.Account | None:
        """Return the account of a request's key by the configuration in force."""
        declared = self.blackboard.configuration.declarations
        return declared.accounts.get(request.key or "") if declared else None

    def _decide(
        self,
        request: exchange.CallerRequest,
        declared: declarations.Declarations,
        now: float,
    ) -> exchange.Admitted | Refusal:
        route = declared.find_route(request.host, request.target)
        if route is None:
            return Refusal(reason=reasons.RefusalReason.UNKNOWN_ROUTE)
        account = None
        if declared.checks_keys and not route.anonymous:
            account = declared.accounts.get(request.key or "")
            if account is None:
                return Refusal(reason=reasons.RefusalReason.UNKNOWN_ACCOUNT)
            if self.is_stale(now):
                return self._refuse_stale()
        service = self._choose_service(declared, route)
        if service is None:
            return Refusal(reason=reasons.RefusalReason.BACKEND_UNAVAILABLE)
        timeout_seconds = route.timeout_seconds
        if request.timeout_seconds is not None:
            timeout_seconds = min(timeout_seconds, request.timeout_seconds)
        return exchange.Admitted(
            route=route,
            service=service,
            account=account,
            version=declared.version,
            deadline=request.arrived_at + timeout_seconds,
        )

    def _refuse_stale(self) -> Refusal:
        return Refusal(
            reason=reasons.RefusalReason.CONFIGURATION_STALE,
            retry_after_seconds=_STALE_RETRY_SECONDS,
        )

    def _choose_service(
        self, declared: declarations.Declarations, route: declarations.Route
    ) -> declarations.Service | None:
        candidates = [
            each for each in route.destinations if each.service in declared.services
        ]
        if not candidates:
            return None
        if len(candidates) == 1:
            return declared.services[candidates[0].service]
        weights = [each.weight for each in candidates]
        chosen = self.random_source.choices(candidates, weights=weights)[0]
        return declared.services[chosen.service]
