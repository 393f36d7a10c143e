"""The service that knows which workers a step may run on."""

import asyncio
import json

from aiohttp import web

from standins import record as records


class Advice:
    """Answer one call at a time for each calling machine."""

    def __init__(
        self, record: records.Record, allowed: set[str], terms: dict
    ) -> None:
        """Allow the workers; ``terms`` are those of the queue."""
        self._record = record
        self._allowed = allowed
        self._terms = terms
        self._turns: dict[str, asyncio.Lock] = {}
        self.calls = 0
        self.address = ""

    async def listen(self, host: str) -> None:
        """Serve on a free port."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.address = ":".join(map(str, self._runner.addresses[0][:2]))

    async def close(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        data = json.loads(await request.read())
        turn = self._turns.setdefault(request.remote, asyncio.Lock())
        async with turn:
            asked = data["Workers"]
            duration_ms = self._terms["DecisionMs"] + self._terms[
                "PeriodMs"
            ] * len(asked)
            await asyncio.sleep(duration_ms / 1000)
        rows = [[name, f"t-{name}"] for name in asked if name in self._allowed]
        self.calls += 1
        if self.calls <= 20:
            self._record.write(
                "advice",
                f"{data['Step']}: {len(asked)} workers asked, {len(rows)}"
                f" allowed; not asked: {sorted(self._allowed - set(asked))}",
            )
        body = {"Allowed": rows, "ValidMs": self._terms["ValidMs"]}
        return web.Response(
            body=json.dumps(body).encode(), content_type="application/json"
        )
