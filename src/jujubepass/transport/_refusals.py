"""Refusals of requests and connections, written to their clients."""

import logging

import h11
import trio

from jujubepass.transport import _http_input, _http_responder, _rejections, _socket_io

_LOGGER = logging.getLogger(__name__)

Responder = _http_responder.Responder


async def reject(
    connection: h11.Connection,
    responder: Responder,
    error: _rejections.RejectedInputError,
) -> None:
    """Send a rejection unless a response has begun."""
    can_answer = connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)
    if not can_answer or responder.started:
        return
    try:
        await responder.send_problem(
            error.status,
            error.code,
            error.detail,
            retry_after_seconds=error.retry_after_seconds,
        )
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        _LOGGER.debug("connection broke before its rejection was sent")


async def send_too_many_connections(responder: Responder, limit: int) -> None:
    """Refuse a connection beyond the limit of its listener."""
    detail = f"This listener has {limit} connections open. Close idle ones, then retry."
    code = "too_many_connections"
    await responder.send_problem(503, code, detail, retry_after_seconds=1)


async def reject_unless_shed(
    source: _http_input.Input,
    stream: trio.SocketStream,
    responder: Responder,
    connection: h11.Connection,
    error: _rejections.RejectedInputError,
) -> None:
    """Reject a request; reset its connection if that is shed meanwhile."""
    holding = source.holding
    # One that was shed while it received may be shed again if it reads nothing.
    holding.is_shed = False
    with trio.CancelScope() as scope:
        holding.cancel = scope.cancel
        await reject(connection, responder, error)
    if scope.cancelled_caught:
        _socket_io.reset(stream)
