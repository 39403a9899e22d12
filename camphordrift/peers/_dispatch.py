"""Dispatch of received requests and notices to their handlers."""

from collections.abc import Awaitable, Callable
from typing import Any, Optional, Union

from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.peers._envelopes import Notice, Refused, Reply, Request
from camphordrift.peers._identity import PeerIdentity
from camphordrift.peers._refusals import PeerCounters
from camphordrift.peers._registry import MessageRegistry

#: Handles a request of a peer; returns the response, of a declared message type, or a failure.
RequestHandler = Callable[[PeerIdentity, Any], Awaitable[Result[Any, results.Failure]]]

#: Handles a notice of a peer; must not block.
NoticeHandler = Callable[[PeerIdentity, Any], None]


class Dispatcher:
    """Calls the handler of each received message; decodes the message and encodes the response."""

    def __init__(self, registry: MessageRegistry, counters: PeerCounters) -> None:
        self._registry = registry
        self._counters = counters
        self._request_handlers: dict[type, RequestHandler] = {}
        self._notice_handlers: dict[type, NoticeHandler] = {}

    def add_request_handler(self, message_type: type, handler: RequestHandler) -> None:
        """Sets the handler of requests of a message type; replaces an earlier one."""
        self._request_handlers[message_type] = handler

    def add_notice_handler(self, message_type: type, handler: NoticeHandler) -> None:
        """Sets the handler of notices of a message type; replaces an earlier one."""
        self._notice_handlers[message_type] = handler

    async def handle_request(self, sender: PeerIdentity, request: Request) -> Union[Reply, Refused]:
        """Runs the handler of a request and returns its response.

        Returns ``Refused`` if there is no handler or the message cannot be decoded.
        """
        handler = self._request_handlers.get(self._type_of(request.message.name))
        if handler is None:
            self._counters.add("unknown_messages")
            return Refused(request.request_id, _no_handler_failure(request.message.name))
        match self._registry.decode(request.message):
            case Success(message):
                return await self._call_request_handler(
                    handler, sender, request.request_id, message
                )
            case Failure(refusal):
                self._counters.add_refusal(refusal)
                code = results.ResultCode.PEER_FRAME_REFUSED
                return Refused(request.request_id, results.Failure(code, refusal.detail))
        raise AssertionError("a result is a success or a failure")

    async def handle_local_request(
        self, sender: PeerIdentity, message: object
    ) -> Result[Any, results.Failure]:
        """Runs the handler of a request from this process itself, without encoding the request."""
        handler = self._request_handlers.get(type(message))
        if handler is None:
            return Failure(_no_handler_failure(type(message).__name__))
        return await handler(sender, message)

    def handle_notice(self, sender: PeerIdentity, notice: Notice) -> None:
        """Runs the handler of a notice; a notice without handler is counted and ignored."""
        handler = self._notice_handlers.get(self._type_of(notice.message.name))
        if handler is None:
            self._counters.add("unknown_messages")
            return
        match self._registry.decode(notice.message):
            case Success(message):
                self._call_notice_handler(handler, sender, message)
            case Failure(refusal):
                self._counters.add_refusal(refusal)

    def handle_local_notice(self, sender: PeerIdentity, message: object) -> None:
        """Runs the handler of a notice from this process itself, without encoding the notice.

        Does nothing if there is no handler.
        """
        handler = self._notice_handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def decode_response(self, envelope: Union[Reply, Refused]) -> Result[Any, results.Failure]:
        """Returns the message or failure that the response to a request contains."""
        match envelope:
            case Refused(_, failure):
                return Failure(failure)
            case Reply(_, message):
                return self._registry.decode(message).alt(_unreadable_response_failure)

    async def _call_request_handler(
        self, handler: RequestHandler, sender: PeerIdentity, request_id: int, message: object
    ) -> Union[Reply, Refused]:
        """Calls the handler; an exception becomes a failure, so that the process keeps running."""
        try:
            return self._to_envelope(request_id, await handler(sender, message))
        except Exception as error:
            self._counters.add("handler_faults")
            code = results.ResultCode.INTERNAL_ERROR
            return Refused(
                request_id, results.Failure(code, f"handler raised {type(error).__name__}")
            )

    def _call_notice_handler(
        self, handler: NoticeHandler, sender: PeerIdentity, message: object
    ) -> None:
        try:
            handler(sender, message)
        except Exception:
            self._counters.add("handler_faults")

    def _type_of(self, name: str) -> type:
        return self._registry.type_of(name) or type(None)

    def _to_envelope(
        self, request_id: int, outcome: Result[Any, results.Failure]
    ) -> Union[Reply, Refused]:
        match outcome:
            case Success(message):
                return Reply(request_id, self._registry.encode(message))
            case Failure(failure):
                return Refused(request_id, failure)
        raise AssertionError("a result is a success or a failure")


def unreachable_failure(
    detail: str, may_have_run: bool, retry_after: Optional[float]
) -> results.Failure:
    """Returns the failure of a request that got no response.

    ``may_have_run`` is true if the request was sent, so that its outcome is unknown.
    ``retry_after`` is the number of seconds after which a retry is recommended.
    """
    override = results.RunState.OUTCOME_UNKNOWN if may_have_run else None
    code = results.ResultCode.PEER_UNREACHABLE
    return results.Failure(code, detail, retry_after, run_state_override=override)


def _no_handler_failure(name: str) -> results.Failure:
    code = results.ResultCode.PEER_VERSION_UNSUPPORTED
    return results.Failure(code, f"no handler for message {name[:60]}")


def _unreadable_response_failure(refusal: Any) -> results.Failure:
    code = results.ResultCode.PEER_FRAME_REFUSED
    unknown = results.RunState.OUTCOME_UNKNOWN
    return results.Failure(code, refusal.detail, run_state_override=unknown)
