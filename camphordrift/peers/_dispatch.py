"""Hands received messages to their handlers."""

from collections.abc import Awaitable, Callable
from typing import Any, Optional, Union

from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.peers._envelopes import Notice, Refused, Reply, Request
from camphordrift.peers._identity import PeerIdentity
from camphordrift.peers._refusals import PeerCounters
from camphordrift.peers._registry import MessageRegistry

#: Answers a request: a declared message, or a failure.
RequestHandler = Callable[[PeerIdentity, Any], Awaitable[Result[Any, results.Failure]]]

#: Takes a notice; must not wait.
NoticeHandler = Callable[[PeerIdentity, Any], None]


class Dispatcher:
    """Knows the handler of each message type."""

    def __init__(self, registry: MessageRegistry, counters: PeerCounters) -> None:
        self._registry = registry
        self._counters = counters
        self._request_handlers: dict[type, RequestHandler] = {}
        self._notice_handlers: dict[type, NoticeHandler] = {}

    def add_request_handler(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests of this type."""
        self._request_handlers[message_type] = handler

    def add_notice_handler(self, message_type: type, handler: NoticeHandler) -> None:
        """Has ``handler`` take notices of this type."""
        self._notice_handlers[message_type] = handler

    async def answer(self, sender: PeerIdentity, request: Request) -> Union[Reply, Refused]:
        """Returns the answer to a request, an error if no handler knows it."""
        handler = self._request_handlers.get(self._type_of(request.message.name))
        if handler is None:
            self._counters.add("unknown_messages")
            return Refused(request.request_id, _unknown(request.message.name))
        match self._registry.decode(request.message):
            case Success(message):
                return await self._run_handler(handler, sender, request.request_id, message)
            case Failure(refusal):
                self._counters.add_refusal(refusal)
                code = results.ResultCode.PEER_FRAME_REFUSED
                return Refused(request.request_id, results.Failure(code, refusal.detail))
        raise AssertionError("a result is a success or a failure")

    async def answer_local(
        self, sender: PeerIdentity, message: object
    ) -> Result[Any, results.Failure]:
        """Answers a request of this very process, without a stream."""
        handler = self._request_handlers.get(type(message))
        if handler is None:
            return Failure(_unknown(type(message).__name__))
        return await handler(sender, message)

    def take_notice(self, sender: PeerIdentity, notice: Notice) -> None:
        """Hands a notice to its handler; passes over one that nobody knows."""
        handler = self._notice_handlers.get(self._type_of(notice.message.name))
        if handler is None:
            self._counters.add("unknown_messages")
            return
        match self._registry.decode(notice.message):
            case Success(message):
                self._run_notice_handler(handler, sender, message)
            case Failure(refusal):
                self._counters.add_refusal(refusal)

    def take_local_notice(self, sender: PeerIdentity, message: object) -> None:
        """Hands over a notice of this very process."""
        handler = self._notice_handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def read_outcome(self, envelope: Union[Reply, Refused]) -> Result[Any, results.Failure]:
        """Returns what a request's answer says."""
        match envelope:
            case Refused(_, failure):
                return Failure(failure)
            case Reply(_, message):
                return self._registry.decode(message).alt(_unreadable)

    async def _run_handler(
        self, handler: RequestHandler, sender: PeerIdentity, request_id: int, message: object
    ) -> Union[Reply, Refused]:
        """Contains a fault of one handler, so that it does not stop the whole process."""
        try:
            return self._as_envelope(request_id, await handler(sender, message))
        except Exception as error:
            self._counters.add("handler_faults")
            code = results.ResultCode.INTERNAL_ERROR
            return Refused(request_id, results.Failure(code, f"{type(error).__name__} in handler"))

    def _run_notice_handler(
        self, handler: NoticeHandler, sender: PeerIdentity, message: object
    ) -> None:
        try:
            handler(sender, message)
        except Exception:
            self._counters.add("handler_faults")

    def _type_of(self, name: str) -> type:
        return self._registry.type_of(name) or type(None)

    def _as_envelope(
        self, request_id: int, outcome: Result[Any, results.Failure]
    ) -> Union[Reply, Refused]:
        match outcome:
            case Success(message):
                return Reply(request_id, self._registry.encode(message))
            case Failure(failure):
                return Refused(request_id, failure)
        raise AssertionError("a result is a success or a failure")


def peer_unreachable(detail: str, sent: bool, retry_after: Optional[float]) -> results.Failure:
    """Returns the failure of a request that got no answer; ``sent`` tells if it may have run."""
    override = results.RunState.OUTCOME_UNKNOWN if sent else None
    code = results.ResultCode.PEER_UNREACHABLE
    return results.Failure(code, detail, retry_after, run_state_override=override)


def _unknown(name: str) -> results.Failure:
    code = results.ResultCode.PEER_VERSION_UNSUPPORTED
    return results.Failure(code, f"no handler for the message {name[:60]}")


def _unreadable(refusal: Any) -> results.Failure:
    code = results.ResultCode.PEER_FRAME_REFUSED
    unknown = results.RunState.OUTCOME_UNKNOWN
    return results.Failure(code, refusal.detail, run_state_override=unknown)
