"""Event loop on a thread of its own, beside the measured one."""

import asyncio
import threading
import typing

CALL_TIMEOUT_S = 60.0


class LoopThread:
    """Runs coroutines on an event loop in a separate thread."""

    def __init__(self) -> None:
        """Start the thread."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def call(self, coroutine: typing.Coroutine) -> typing.Any:
        """Run a coroutine on the loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT_S)

    def stop(self) -> None:
        """Cancel the remaining tasks and stop the thread."""
        self.call(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _cancel_all(self) -> None:
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
