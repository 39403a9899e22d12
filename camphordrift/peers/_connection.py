"""An authenticated connection between two VMs, after its handshake."""

from collections.abc import AsyncIterator
from typing import Any, Optional, Union

import trio
from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.peers._dispatch import Dispatcher, unreachable_failure
from camphordrift.peers._envelopes import (
    Cancel,
    Envelope,
    Notice,
    Ping,
    Pong,
    Refused,
    Reply,
    Request,
    decode_envelope,
)
from camphordrift.peers._frames import FrameOpener, FrameSealer, FrameSplitter
from camphordrift.peers._handshake import Session
from camphordrift.peers._identity import PeerIdentity
from camphordrift.peers._keepalive import (
    ACCEPTED_IDLE_TIMEOUT_SECONDS,
    CheckAgain,
    ConnectionTimedOut,
    KeepaliveMonitor,
    SendPing,
)
from camphordrift.peers._refusals import PeerCounters
from camphordrift.peers._registry import WireMessage
from camphordrift.peers._send_queue import (
    NOTICE_BACKLOG_BYTES,
    REQUEST_BACKLOG_BYTES,
    SendQueue,
)
from camphordrift.telemetry import log_event

#: Maximum number of requests in flight on an accepted connection; further ones are refused.
MAXIMUM_RUNNING_REQUESTS = 1024

#: Seconds after which the sender should retry a request that was refused for this reason.
BUSY_RETRY_SECONDS = 0.25

_RECEIVE_BYTES = 65536


class _PendingRequest:
    """A sent request that awaits its response."""

    def __init__(self) -> None:
        self.response_received = trio.Event()
        self.response: Optional[Union[Reply, Refused]] = None


class PeerConnection:
    """A connection after its handshake.

    The side that opened it sends requests and notices; the other side responds. Request ids are
    never reused on a connection, and each connection has its own keys, so a late or reordered
    response cannot be matched to another request.

    ``splitter`` is the one that the handshake used, as it may hold bytes received after the
    handshake. ``opened_here`` is true on the side that opened the connection.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        splitter: FrameSplitter,
        session: Session,
        dispatcher: Dispatcher,
        counters: PeerCounters,
        opened_here: bool,
    ) -> None:
        self._stream = stream
        self._splitter = splitter
        self._session = session
        self._dispatcher = dispatcher
        self._counters = counters
        self._opened_here = opened_here
        self._opener = FrameOpener(session.receive_key)
        self._queue = SendQueue(stream, FrameSealer(session.send_key))
        self._keepalive = KeepaliveMonitor(trio.current_time())
        self._last_received = trio.current_time()
        self._next_request_id = 1
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._running_requests: dict[int, trio.CancelScope] = {}
        self._is_open = True
        self._keepalive_wakeup = trio.Event()

    @property
    def peer(self) -> PeerIdentity:
        """Identity of the process at the other end of the connection."""
        return self._session.peer

    @property
    def is_open(self) -> bool:
        """Whether the connection is usable; false once it has failed or was closed."""
        return self._is_open

    async def run(self) -> None:
        """Serves the connection until it ends, then fails all pending requests."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_writer)
                nursery.start_soon(self._run_keepalive)
                await self._read_frames(nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._close()
            await trio.aclose_forcefully(self._stream)

    async def request(
        self, message: WireMessage, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Sends a request and waits for its response.

        On a timeout or a cancelled wait, the peer is told to cancel its handler. Without a response
        the outcome of the request is unknown, unless the request could not even be queued; only
        then is the failure's run state not-run.
        """
        request_id = self._next_request_id
        self._next_request_id += 1
        envelope = Request(request_id, max(0, int(timeout_seconds * 1000)), message)
        if not (self._is_open and self._send(envelope, REQUEST_BACKLOG_BYTES)):
            return Failure(
                unreachable_failure(f"request to {self.peer.vm_id} could not be queued", False, 1.0)
            )
        pending = _PendingRequest()
        self._pending_requests[request_id] = pending
        try:
            with trio.move_on_after(timeout_seconds):
                await pending.response_received.wait()
        finally:
            self._pending_requests.pop(request_id, None)
            if not pending.response_received.is_set() and self._is_open:
                self._send(Cancel(request_id), REQUEST_BACKLOG_BYTES)
        if pending.response is None:
            detail = "did not respond in time" if self._is_open else "became unreachable"
            return Failure(unreachable_failure(f"{self.peer.vm_id} {detail}", True, 1.0))
        return self._dispatcher.decode_response(pending.response)

    def notify(self, message: WireMessage) -> bool:
        """Queues a notice; returns whether it was queued and not dropped."""
        return self._is_open and self._send(Notice(message), NOTICE_BACKLOG_BYTES)

    def dump_state(self) -> dict[str, Any]:
        """Returns the connection's state for the operators' state dump."""
        return {
            "vm_id": self.peer.vm_id,
            "incarnation": self.peer.incarnation,
            "protocol_version": self._session.version,
            "opened_here": self._opened_here,
            "waiting_requests": len(self._pending_requests),
            "running_requests": len(self._running_requests),
            "backlog_bytes": self._queue.backlog_bytes,
            "last_received_seconds_ago": round(trio.current_time() - self._last_received, 3),
        }

    def close(self) -> None:
        """Closes the connection; pending requests fail."""
        self._close()

    def _close(self) -> None:
        self._is_open = False
        self._keepalive_wakeup.set()
        for pending in self._pending_requests.values():
            pending.response_received.set()

    def _send(self, envelope: Envelope, limit_bytes: int) -> bool:
        queued = self._queue.put(envelope, limit_bytes)
        if queued:
            self._counters.add("frames_sent")
            self._keepalive.on_sent(trio.current_time())
            self._keepalive_wakeup.set()
        return queued

    async def _run_writer(self) -> None:
        try:
            await self._queue.run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._close()

    async def _run_keepalive(self) -> None:
        """Sends keepalive pings, and closes the connection when the peer no longer responds."""
        while self._is_open:
            self._keepalive_wakeup = trio.Event()
            next_check_at = (
                self._check_keepalive() if self._opened_here else self._check_accepted_idle()
            )
            with trio.move_on_at(next_check_at):
                await self._keepalive_wakeup.wait()
        await trio.aclose_forcefully(self._stream)

    def _check_keepalive(self) -> float:
        now = trio.current_time()
        match self._keepalive.next_action(now):
            case SendPing():
                self._send(Ping(), REQUEST_BACKLOG_BYTES)
                return now
            case ConnectionTimedOut():
                self._close_timed_out()
                return now
            case CheckAgain(at):
                return at

    def _check_accepted_idle(self) -> float:
        timeout_at = self._last_received + ACCEPTED_IDLE_TIMEOUT_SECONDS
        if trio.current_time() >= timeout_at:
            self._close_timed_out()
        return timeout_at

    def _close_timed_out(self) -> None:
        self._counters.add("silent_connections")
        log_event("peer_connection_silent", peer=self.peer.vm_id, opened_here=self._opened_here)
        self._close()

    async def _read_frames(self, nursery: trio.Nursery) -> None:
        async for payload in self._payloads():
            match self._opener.open(payload).bind(decode_envelope):
                case Success(envelope):
                    self._on_envelope(envelope, nursery)
                case Failure(refusal):
                    self._counters.add_refusal(refusal)
                    return

    async def _payloads(self) -> AsyncIterator[bytes]:
        while self._is_open:
            match self._splitter.next_payload():
                case Failure(refusal):
                    self._counters.add_refusal(refusal)
                    return
                case Success(None):
                    if not await self._receive():
                        return
                case Success(payload):
                    yield payload

    async def _receive(self) -> bool:
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self._splitter.feed(data)
        return bool(data)

    def _on_envelope(self, envelope: Envelope, nursery: trio.Nursery) -> None:
        self._counters.add("frames_received")
        self._last_received = trio.current_time()
        match envelope:
            case Reply(request_id, _) | Refused(request_id, _):
                self._on_response(request_id, envelope)
            case Request():
                self._on_request(envelope, nursery)
            case Cancel(request_id):
                self._on_cancel(request_id)
            case Notice():
                self._dispatcher.handle_notice(self.peer, envelope)
            case Ping():
                self._send(Pong(), REQUEST_BACKLOG_BYTES)
            case Pong():
                pass
        self._keepalive.on_received(
            self._last_received, awaiting_responses=bool(self._pending_requests)
        )
        self._keepalive_wakeup.set()

    def _on_response(self, request_id: int, response: Union[Reply, Refused]) -> None:
        pending = self._pending_requests.pop(request_id, None)
        if pending is None:
            self._counters.add("late_answers")
            return
        pending.response = response
        pending.response_received.set()

    def _on_request(self, request: Request, nursery: trio.Nursery) -> None:
        if (
            request.request_id in self._running_requests
            or len(self._running_requests) >= MAXIMUM_RUNNING_REQUESTS
        ):
            self._counters.add("refused_busy")
            code = results.ResultCode.QUEUE_FULL
            busy = results.Failure(code, "too many requests in flight", BUSY_RETRY_SECONDS)
            self._send(Refused(request.request_id, busy), REQUEST_BACKLOG_BYTES)
            return
        scope = trio.CancelScope()
        self._running_requests[request.request_id] = scope
        nursery.start_soon(self._run_request, request, scope)

    def _on_cancel(self, request_id: int) -> None:
        scope = self._running_requests.get(request_id)
        if scope is not None:
            scope.cancel()

    async def _run_request(self, request: Request, scope: trio.CancelScope) -> None:
        """Runs the handler until the sender's timeout and sends the response."""
        scope.deadline = trio.current_time() + request.remaining_milliseconds / 1000
        try:
            with scope:
                response = await self._dispatcher.handle_request(self.peer, request)
                if not self._send(response, REQUEST_BACKLOG_BYTES):
                    self._send_failure_instead_of_response(request.request_id)
        finally:
            self._running_requests.pop(request.request_id, None)

    def _send_failure_instead_of_response(self, request_id: int) -> None:
        """Sends a failure in place of a response that cannot be sent, so the peer stops waiting.

        The queue limit is doubled for it, so that it is queued even if the send queue is full.
        """
        self._counters.add("unsendable_answers")
        detail = "response exceeds the frame size or the send queue limit"
        failure = results.Failure(
            results.ResultCode.PEER_FRAME_REFUSED,
            detail,
            run_state_override=results.RunState.OUTCOME_UNKNOWN,
        )
        self._send(Refused(request_id, failure), 2 * REQUEST_BACKLOG_BYTES)
