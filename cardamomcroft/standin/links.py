"""Simulate a slow link that all answers to one client share."""

import asyncio
import contextlib

from aiohttp import web

PERIOD_S = 0.02  # between two pieces of an answer


class FairLink:
    """A link that carries a part of every waiting answer in turn."""

    def __init__(self, bytes_per_s: int) -> None:
        """Carry so many bytes a second in all."""
        self._bytes_per_s = bytes_per_s
        self._sending = 0
        self._is_drained = False

    def drain(self) -> None:
        """Carry the rest of what waits, and all that follows, at once."""
        self._is_drained = True

    async def send(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        """Send a response at its share of the rate."""
        slow = web.StreamResponse(status=response.status)
        body = response.body or b""
        sent = 0
        self._sending += 1
        try:
            with contextlib.suppress(ConnectionResetError):  # given up
                await slow.prepare(request)
                while sent < len(body):
                    size = self._bytes_per_s * PERIOD_S / self._sending
                    end = sent + max(1, round(size))
                    if self._is_drained:
                        end = len(body)
                    await slow.write(body[sent:end])
                    sent = end
                    await asyncio.sleep(PERIOD_S)
                await slow.write_eof()
        finally:
            self._sending -= 1
        return slow


class QueueLink:
    """A link that carries one answer after the other.

    It also carries the answers that the client has given up meanwhile, as a
    router does that holds them already.
    """

    def __init__(self, bytes_per_s: int) -> None:
        """Carry so many bytes a second in all."""
        self._bytes_per_s = bytes_per_s
        self._turn = asyncio.Lock()
        self._is_drained = False

    async def send(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        """Send a response after those that wait already."""
        async with self._turn:
            if not self._is_drained:
                size = len(response.body or b"")
                await asyncio.sleep(size / self._bytes_per_s)
        return response

    async def drain(self) -> None:
        """Carry what waits, and all that follows, without delay."""
        self._is_drained = True
        async with self._turn:
            pass
