"""Receive answers whose size depends on the data."""

import asyncio
import datetime

import aiohttp

MIN_BYTES_PER_S = 1_000  # 590 kB/s shared by hundreds of polls
# Twice the time of 175 lists of 500 ends and checkpoints at 590 kB/s.
MAX_TRANSFER_S = 20.0


async def receive(
    response: aiohttp.ClientResponse,
    limit: asyncio.Timeout,
    silence: datetime.timedelta,
) -> bytes:
    """Receive a body and extend the time limit while it makes progress.

    The answer ends after ``silence`` without data, below the minimum rate or
    after the maximum time, but never before the limit that it began with.
    """
    loop = asyncio.get_running_loop()
    began_at, first_limit = loop.time(), limit.when()
    silence_s = silence.total_seconds()
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        slowest_s = min(len(body) / MIN_BYTES_PER_S, MAX_TRANSFER_S)
        limit.reschedule(
            max(
                first_limit,
                min(loop.time() + silence_s, began_at + silence_s + slowest_s),
            )
        )
    return bytes(body)
