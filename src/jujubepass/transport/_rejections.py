"""Rejections of HTTP input: the status, code and detail of the response."""

import attrs


@attrs.frozen(kw_only=True)
class RejectedInputError(Exception):
    """Signal input that the listener rejects."""

    status: int
    code: str
    detail: str
    retry_after_seconds: float | None = None


INTERNAL_ERROR = RejectedInputError(
    status=500,
    code="internal_error",
    detail="The node failed to serve this request; see its log.",
)


UNSUPPORTED_TUNNEL = RejectedInputError(
    status=405,
    code="method_not_allowed",
    detail="This node opens no tunnels. Send GET or POST.",
)


CONFLICTING_LENGTHS = RejectedInputError(
    status=400,
    code="malformed_http",
    detail="The request has both Content-Length and Transfer-Encoding. Send one.",
)


def make_malformed(status: int, problem: str) -> RejectedInputError:
    """Make the rejection of input that is not valid HTTP."""
    detail = f"{problem}. Send a valid HTTP/1.1 request."
    return RejectedInputError(status=status, code="malformed_http", detail=detail)


def make_long_header(limit: int) -> RejectedInputError:
    """Make the rejection of a header over `limit` bytes."""
    detail = f"The header is over {limit} bytes. Send a shorter one."
    return RejectedInputError(status=431, code="malformed_http", detail=detail)


def make_oversized(limit: int) -> RejectedInputError:
    """Make the rejection of a body over `limit` bytes."""
    detail = f"The body is over {limit} bytes. Send a smaller one."
    return RejectedInputError(status=413, code="body_too_large", detail=detail)


def make_oversized_chunk(limit: int) -> RejectedInputError:
    """Make the rejection of a chunk over the `limit` bytes left for its body."""
    detail = f"A chunk is over the {limit} bytes left. Send a smaller body."
    return RejectedInputError(status=413, code="body_too_large", detail=detail)


def make_slow_sender(seconds: float) -> RejectedInputError:
    """Make the rejection of a request that did not arrive in time."""
    detail = f"The request did not arrive within {seconds:g} s. Send it again faster."
    return RejectedInputError(status=408, code="slow_sender", detail=detail)


def make_short_of_memory() -> RejectedInputError:
    """Make the refusal of a request for which the process has no memory left."""
    return RejectedInputError(
        status=503,
        code="short_of_memory",
        detail="The node has no memory left for this request. It was not run.",
        retry_after_seconds=1.0,
    )
