"""One HTTP/1.1 connection of a caller: h11 over a TCP connection.

One task reads requests, one after the other, and notices that the caller disconnects.
Answers are written from wherever they are decided, without a task of their own.
"""

from enum import Enum, auto

import h11
import trio

from masticdrum.core.processlimits import CONNECTION_BYTES
from masticdrum.model.errors import ErrorKind
from masticdrum.shell.asgi import Body, Headers
from masticdrum.shell.callerrequests import (
    ConnectionKeeper,
    IncomingRequest,
    Refusal,
    RequestHandler,
)
from masticdrum.shell.clock import read_clock
from masticdrum.shell.tcpconnection import TcpConnection

MAX_HEAD_BYTES = 96 * 1024  # heads up to this size get an answer that says why
MAX_PIPELINED_BYTES = 16 * 1024  # that are read while a request is open
# Read at once of a body, and of all else, which most callers send little of.
BODY_RECEIVE_BYTES = 64 * 1024
RECEIVE_BYTES = 16 * 1024
PIECE_BYTES = 64 * 1024  # of a large answer, so that no second copy of it is made
# Unsent bytes from which a caller holds its stream up at the upstream.
MAX_UNSENT_BYTES = 64 * 1024
WRITE_TIMEOUT_S = 10.0  # for a caller that accepts no data
# The same while it holds up its stream, which an upstream cuts off after some seconds.
HOLD_UP_TIMEOUT_S = 3.0
RECORDED_STEP_BYTES = 4096  # smaller changes of what is held aren't recorded
# Lets the caller read an answer that was sent before the request's end was read.
LINGER_S = 1.0
FIRST_REQUEST_S = 0.5  # after a stop, on a connection that was just accepted
# After a freeze of the machine, closes arrive one round trip late.
STALL_DISCONNECT_S = 0.03
NEVER = float("inf")
CONTENT_LENGTH = b"content-length"


class Phase(Enum):
    """What a connection waits for."""

    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    OPEN = auto()  # a whole request has no complete answer yet
    ENDING = auto()


class CallerConnection:
    """Reads a caller's requests and writes their answers."""

    __slots__ = (
        "_body",
        "_deadline",
        "_flushed",
        "_handler",
        "_held",
        "_http",
        "_is_fresh",
        "_is_stopping",
        "_is_shed",
        "_is_unframed",
        "_keeper",
        "_nursery",
        "_phase",
        "_recorded",
        "_request",
        "_tcp",
        "_unread",
        "_waiting",
        "waiting_since",
    )

    def __init__(
        self,
        tcp: TcpConnection,
        handler: RequestHandler,
        nursery: trio.Nursery,
        keeper: ConnectionKeeper | None = None,
    ) -> None:
        self._tcp = tcp
        self._handler = handler
        self._keeper = keeper
        self._nursery = nursery
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request: IncomingRequest | None = None
        self._body: Body = b""
        self._unread = 0  # bytes received of a head, or of further requests
        self._recorded = 0
        self._phase = Phase.IDLE
        self.waiting_since = read_clock()
        self._deadline = NEVER
        self._waiting = trio.CancelScope()
        self._held = False
        self._flushed: trio.Event | None = None
        self._is_stopping = False
        self._is_fresh = True
        self._is_unframed = False  # the answer ends with the connection
        self._is_shed = False

    # Reading

    async def serve(self) -> None:
        """Serve the connection until one side closes it."""
        try:
            self._begin_phase(Phase.IDLE)
            while not self._is_ending and await self._serve_step():
                pass
            if self._is_ending:
                await self._end()
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            if self._phase is Phase.OPEN:
                self._handler.abandon(self)
            self._phase = Phase.ENDING
            self._tcp.close()

    def shed(self) -> None:
        """Close, since this connection holds too much or waits for too long.

        A request of which only a part has arrived is refused: it has not run. Nothing
        is said of one that may have run, or to a caller that reads no answer.
        """
        if self._phase is Phase.BODY and not self._tcp.has_unsent:
            self._refuse(Refusal(ErrorKind.OVERLOADED, "its body was not read"))
        else:
            self._is_shed = True
            self._tcp.close(reset=True)
        self._waiting.cancel()

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for its caller, since ``waiting_since``."""
        return self._phase is not Phase.OPEN or self._flushed is not None

    def stop(self) -> None:
        """Close once the open request is answered, or now if there is none.

        A connection that carried no request yet has a moment for its first one, since
        its caller can't know of the stop.
        """
        self._is_stopping = True
        if self._phase is not Phase.IDLE:
            return
        if self._is_fresh:
            self._deadline = read_clock() + FIRST_REQUEST_S
            self._waiting.deadline = self._compute_deadline()
            return
        try:
            received = self._tcp.receive_nowait(RECEIVE_BYTES)
        except OSError:
            received = b""
        if received:
            # A request was on its way; it is answered, with a close.
            self._begin_phase(Phase.HEAD)
            self._http.receive_data(received)
        else:
            self._phase = Phase.ENDING
        self._waiting.cancel()

    async def _serve_step(self) -> bool:
        """Handle what was received and wait for more; return False at the end."""
        if self._phase is not Phase.OPEN:
            await self._handle_received()
            if self._is_ending:
                return True
        received: bytes | None = None
        with trio.CancelScope() as self._waiting:
            self._waiting.deadline = self._compute_deadline()
            if self._phase is Phase.OPEN and self._has_read_ahead():
                await trio.sleep_forever()
            is_body = self._phase is Phase.BODY
            most = BODY_RECEIVE_BYTES if is_body else RECEIVE_BYTES
            received = await self._tcp.receive(most)
        if received is None:
            return self._handle_wake()
        if not received:
            return False
        if self._phase is Phase.IDLE:
            self._begin_phase(Phase.HEAD)
        self._take_received(received)
        return True

    def _take_received(self, received: bytes) -> None:
        self._http.receive_data(received)
        if self._phase is not Phase.BODY:
            self._unread += len(received)
            self._record_held()

    @property
    def _is_ending(self) -> bool:
        return self._phase is Phase.ENDING

    def _handle_wake(self) -> bool:
        """Return whether to go on although nothing was received."""
        if self._is_shed:
            return False
        if self._is_ending or read_clock() < self._deadline:
            return True
        if self._phase is not Phase.BODY:
            return False
        detail = "the body did not arrive in time"
        self._refuse(Refusal(ErrorKind.MALFORMED_REQUEST, detail))
        return True

    async def _handle_received(self) -> None:
        """Read events until more data is needed or a request is complete.

        A caller that has sent requests ahead gets one answer after the other, as fast
        as it reads them and no faster than others get theirs.
        """
        while self._phase in (Phase.IDLE, Phase.HEAD, Phase.BODY):
            if self._phase is Phase.HEAD and not self._is_fresh:
                await self.wait_until_sent()
            if self._is_shed:
                return
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                kind = ErrorKind.MALFORMED_REQUEST
                if error.error_status_hint == 431:
                    kind = ErrorKind.HEADERS_TOO_LARGE
                self._refuse(Refusal(kind, str(error)))
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._add_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._open_request()
                if self._phase is Phase.HEAD:
                    await trio.lowlevel.checkpoint()
            else:
                return

    def _begin_request(self, event: h11.Request) -> None:
        self._begin_phase(Phase.BODY)
        self._body = bytearray()
        self._unread = 0
        self._request = IncomingRequest(
            event.method, event.target, list(event.headers), read_clock()
        )
        refusal = self._check_length(event) or self._handler.check(self._request)
        self._is_fresh = False
        if refusal is not None:
            self._refuse(refusal)
        elif self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(interim))

    def _check_length(self, event: h11.Request) -> Refusal | None:
        """Refuse a body that is announced as too large before any of it is read."""
        length = dict(event.headers).get(CONTENT_LENGTH)
        if length is None or int(length) <= self._handler.read_limits().max_body_bytes:
            return None
        return self._make_size_refusal()

    def _add_body(self, data: Body) -> None:
        if not isinstance(self._body, bytearray):
            raise LookupError("a part of a body arrived behind its end")
        if len(self._body) + len(data) > self._handler.read_limits().max_body_bytes:
            self._refuse(self._make_size_refusal())
            return
        self._body += data
        self._record_held()

    def _make_size_refusal(self) -> Refusal:
        limit = self._handler.read_limits().max_body_bytes
        return Refusal(ErrorKind.BODY_TOO_LARGE, f"the body is over {limit} bytes")

    async def _open_request(self) -> None:
        """Pass a whole request on, unless its caller has already disconnected.

        After a stall, the kernel holds requests whose callers disconnected long ago;
        they must not be sent to an upstream.
        """
        if self._handler.was_stalled():
            await trio.sleep(STALL_DISCONNECT_S)
            if self._phase is not Phase.BODY:
                return
        self._unread = len(self._http.trailing_data[0])
        if not self._has_read_ahead():
            received = self._tcp.receive_nowait(RECEIVE_BYTES)
            if received == b"":
                raise ConnectionResetError("the caller disconnected")
            if received:
                self._http.receive_data(received)
                self._unread += len(received)
        request = self._request
        if request is None:
            raise LookupError("a request ended that had not begun")
        if len(self._body) <= PIECE_BYTES:
            self._body = bytes(self._body)
        request.body = self._body
        self._begin_phase(Phase.OPEN)
        self._record_held()
        if self._is_shed:
            return
        self._handler.begin(self, request)

    def _refuse(self, refusal: Refusal) -> None:
        """Answer a request that can't be accepted, and close."""
        self._body = b""
        self._phase = Phase.OPEN
        self._is_stopping = True
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._handler.refuse(self, self._request, refusal)
        self._phase = Phase.ENDING

    def _begin_phase(self, phase: Phase) -> None:
        self._phase = phase
        self.waiting_since = read_clock()
        limits = self._handler.read_limits()
        wait_s = {
            Phase.IDLE: limits.idle_s,
            Phase.HEAD: limits.header_s,
            Phase.BODY: limits.idle_s,
        }.get(phase, NEVER)
        self._deadline = self.waiting_since + wait_s
        self._waiting.deadline = self._compute_deadline()

    def _compute_deadline(self) -> float:
        if self._deadline == NEVER:
            return NEVER
        return trio.current_time() + max(0.0, self._deadline - read_clock())

    def _has_read_ahead(self) -> bool:
        """Return whether enough of further requests has been read for now."""
        return self._unread > MAX_PIPELINED_BYTES

    def _record_held(self) -> None:
        """Tell the keeper what this connection holds, if that has changed by much."""
        size = CONNECTION_BYTES + self._unread + len(self._body)
        size += self._tcp.unsent_bytes
        if self._keeper is None or abs(size - self._recorded) < RECORDED_STEP_BYTES:
            return
        self._recorded = size
        self._keeper.record_held(self, size)

    # Writing

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers of an answer."""
        response = h11.Response(status_code=status, headers=headers)
        data = self._http.send(response)
        is_old = self._http.their_http_version == b"1.0"
        self._is_unframed = is_old and CONTENT_LENGTH not in dict(headers)
        if self._is_unframed:
            self._tcp.set_reset_on_close(True)
        self._write(data)

    def send_body(self, data: Body) -> None:
        """Send a piece of the body."""
        if self._is_bodiless():
            return
        view = memoryview(data)
        for start in range(0, len(data), PIECE_BYTES):
            piece = bytes(view[start : start + PIECE_BYTES])
            self._write(self._http.send(h11.Data(data=piece)))

    def send_whole(self, status: int, headers: Headers, body: Body) -> None:
        """Send a whole answer."""
        self._held = True
        length = (CONTENT_LENGTH, str(len(body)).encode())
        self.send_head(status, [*headers, length])
        self.send_body(body)
        self.finish()

    def finish(self) -> None:
        """End the answer as complete."""
        self._held = False
        self._write(self._http.send(h11.EndOfMessage()) or b"")
        if self._phase is not Phase.OPEN:
            return
        self._request = None
        self._body = b""
        if self._is_stopping or not self._begin_next():
            self.abort()
            return
        self._begin_phase(Phase.HEAD if self._unread else Phase.IDLE)
        self._record_held()
        if self._unread:
            self._waiting.cancel()

    def abort(self) -> None:
        """Close after what was sent; an answer without its end looks incomplete."""
        self._phase = Phase.ENDING
        self._held = False
        self._write(b"")
        self._waiting.cancel()

    def hold(self) -> None:
        """Buffer what is written, to send it at once with what follows."""
        self._held = True

    def release(self) -> None:
        """Send what was held."""
        if self._held:
            self._held = False
            self._write(b"")

    @property
    def is_blocked(self) -> bool:
        """Whether the caller should be sent no more data for now."""
        return self._tcp.unsent_bytes > MAX_UNSENT_BYTES

    async def wait_until_sent(self) -> None:
        """Wait until the caller has accepted what was written."""
        if self._flushed is not None:
            await self._flushed.wait()

    def _begin_next(self) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        http = self._http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return True

    def _is_bodiless(self) -> bool:
        return self._request is not None and self._request.method == b"HEAD"

    def _write(self, data: bytes | None) -> None:
        try:
            self._tcp.write(data or b"", hold=self._held)
        except OSError:
            # The reading task notices that the connection is broken.
            self._tcp.close()
            return
        if self._tcp.has_unsent:
            self._record_held()
        if self._tcp.has_unsent and not self._held and self._flushed is None:
            self.waiting_since = read_clock()
            self._flushed = trio.Event()
            self._nursery.start_soon(self._flush, self._flushed)

    async def _flush(self, flushed: trio.Event) -> None:
        """Send the rest as the caller accepts it; close if it accepts nothing."""
        try:
            while self._tcp.has_unsent:
                holds_up = self.is_blocked and self._phase is Phase.OPEN
                most_s = HOLD_UP_TIMEOUT_S if holds_up else WRITE_TIMEOUT_S
                with trio.fail_after(min(most_s, WRITE_TIMEOUT_S)):
                    await self._tcp.wait_sendable()
                self._tcp.send_unsent()
                self.waiting_since = read_clock()
                self._record_held()
        except (OSError, trio.TooSlowError, trio.ClosedResourceError):
            self._tcp.close(reset=True)
        finally:
            self._flushed = None
            flushed.set()

    async def _end(self) -> None:
        """Close in a way that lets the caller read the end of the answer."""
        await self.wait_until_sent()
        is_incomplete = self._http.our_state is h11.SEND_BODY
        if self._is_unframed:
            if is_incomplete:
                return  # an orderly close would state that the answer is complete
            self._tcp.set_reset_on_close(False)
        self._tcp.end_writing()
        if is_incomplete:
            return  # nothing of an incomplete answer is worth the wait
        with trio.move_on_after(LINGER_S):
            while await self._tcp.receive():
                pass
