"""Reasons for refusals, retries and drops; each is counted separately."""

import enum

_RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})


class RefusalReason(enum.Enum):
    """Enumerate the reasons for refusing a caller's request."""

    status: int

    def __new__(cls, code: str, status: int) -> "RefusalReason":
        """Make a member whose value is its stable code."""
        member = object.__new__(cls)
        member._value_ = code
        member.status = status
        return member

    @property
    def code(self) -> str:
        """Return the stable code that problem+json and metrics carry."""
        return str(self.value)

    @property
    def is_retryable(self) -> bool:
        """Return whether the same request may succeed later."""
        return self.status in _RETRYABLE_STATUSES

    UNKNOWN_ACCOUNT = "unknown_account", 401
    MALFORMED_REQUEST = "malformed_request", 400
    BODY_TOO_LARGE = "body_too_large", 413
    SLOW_SENDER = "slow_sender", 408
    UNKNOWN_MODEL = "unknown_model", 404
    UNKNOWN_SERVICE = "unknown_service", 404
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key", 400
    INVALID_IDEMPOTENCY_KEY = "invalid_idempotency_key", 400
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused", 422
    DEADLINE_UNREACHABLE = "deadline_unreachable", 503
    DEADLINE_PASSED = "deadline_passed", 504
    ACCOUNT_RATE = "account_rate", 429
    ACCOUNT_CONCURRENCY = "account_concurrency", 429
    NODE_OVERLOADED = "node_overloaded", 503
    NO_ROUTE = "no_route", 503
    BACKEND_UNAVAILABLE = "backend_unavailable", 503
    STORE_UNAVAILABLE = "store_unavailable", 503
    NODE_STOPPING = "node_stopping", 503
    OUTCOME_UNKNOWN = "outcome_unknown", 502
    RETRY_BUDGET_SPENT = "retry_budget_spent", 503
    CIRCUIT_OPEN = "circuit_open", 503
    NOT_READY = "not_ready", 503
    BACKEND_LEAVING = "backend_leaving", 503
    BACKEND_REFUSED = "backend_refused", 502
    ANSWER_NOT_KEPT = "answer_not_kept", 410
    UNKNOWN_ROUTE = "unknown_route", 404
    CONFIGURATION_STALE = "configuration_stale", 503
    ENGINES_FULL = "engines_full", 503
    SHORTAGE = "shortage", 503
    PROMPT_QUARANTINED = "prompt_quarantined", 503
    REQUEST_QUARANTINED = "request_quarantined", 503
    BACKEND_LIMITED = "backend_limited", 503


class RetryReason(enum.Enum):
    """Enumerate the reasons for a retry by the node."""

    STAGE_FAILED = "stage_failed"
    STAGE_STALLED = "stage_stalled"
    STREAM_CUT = "stream_cut"
    STAGE_SLOW = "stage_slow"
    TOKEN_GAP = "token_gap"
    ENGINE_FULL = "engine_full"
    ENGINE_LEAVING = "engine_leaving"
    OLD_EPOCH = "old_epoch"
    CONNECT_FAILED = "connect_failed"
    LOOKUP_FAILED = "lookup_failed"
    LOOKUP_HEDGED = "lookup_hedged"
    TABLE_CONFLICT = "table_conflict"
    TABLE_AMBIGUOUS = "table_ambiguous"
    CALL_REFUSED = "call_refused"
    CALL_TAKEN_OVER = "call_taken_over"
    SEND_WINDOW_PASSED = "send_window_passed"


class UnknownCause(enum.Enum):
    """Enumerate the causes of an unknown outcome of a call."""

    BACKEND_CANNOT_BE_ASKED = "backend_cannot_be_asked"
    BACKEND_IS_GONE = "backend_is_gone"
    BACKEND_IS_SILENT = "backend_is_silent"
    ABSENT_BUT_NOT_FENCED = "absent_but_not_fenced"
    OTHER_NODE_IS_BUSY = "other_node_is_busy"
    STORE_IS_SILENT = "store_is_silent"


class DropReason(enum.Enum):
    """Enumerate the reasons for dropping a token from an engine."""

    OLD_EPOCH = "old_epoch"
    DUPLICATE_TOKEN = "duplicate_token"
    CROSSED_TOKEN = "crossed_token"
    LAYER_GAP = "layer_gap"
    POSITION_GAP = "position_gap"
