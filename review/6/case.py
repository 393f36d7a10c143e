"""A start is carried out late by a worker's next life: the task runs twice."""

import asyncio
import pathlib
import random

import harness

SHARE_LOST = 0.066  # of the orders
WINDOW_S = 5.5
CUT_S = 5.0
LATE_S = 4.5  # after the order; 2 to 12 are named
RESTART_AFTER_S = 3.5  # the first lost order
WORK_S = 9.0
TASK = {
    "Count": 1,
    "Cpu": 26_000,
    "MemMb": 53_000,
    "Gpu": 8,
    "EstimateMs": 9000,
}
OTHER = {
    "Count": 16,
    "Cpu": 26_000,
    "MemMb": 53_000,
    "Gpu": 8,
    "LongRunning": True,
}


class LateOrders:
    """Leave the starts of one run unanswered; carry them out late."""

    def __init__(self, fleet: harness.Fleet, job_id: str) -> None:
        """Lose the starts of the job's first run."""
        self._fleet = fleet
        self._job_id = job_id
        self._run: int | None = None
        self.worker: harness.Worker | None = None
        self.began_at = 0.0
        self.lost = 0

    def loses(self, worker: harness.Worker, path: str, data: dict) -> bool:
        """Return whether an order gets no answer; have it carried out."""
        if path != "/run-start" or not data["Task"].startswith(self._job_id):
            return False
        if self._run is None:
            self._run, self.worker = data["RunId"], worker
            self.began_at = self._fleet.record.now()
        if data["RunId"] != self._run:
            return False
        self.lost += 1
        self._fleet.record.add(
            "order_unanswered",
            task=data["Task"],
            run=data["RunId"],
            worker=worker.worker_id,
        )
        asyncio.get_running_loop().call_later(
            LATE_S, lambda: asyncio.ensure_future(self._carry_out(path, data))
        )
        return True

    async def _carry_out(self, path: str, data: dict) -> None:
        answer = await self.worker.carry_out(path, data)
        self._fleet.record.add(
            "late_order_carried_out",
            task=data["Task"],
            run=data["RunId"],
            worker=self.worker.worker_id,
            status=answer.status,
        )


def overlaps(fleet: harness.Fleet, job_id: str) -> list[str]:
    """Return the pairs of runs of one task that ran at the same time."""
    runs = [i for i in fleet.intervals if i.task.startswith(job_id)]
    return [
        f"TWICE: {a.task} run {a.number} on {a.worker_id} from"
        f" {a.began_at:.2f} to {a.ended_at:.2f} ({a.how}) beside run"
        f" {b.number} on {b.worker_id} from {b.began_at:.2f} to"
        f" {b.ended_at:.2f} ({b.how})"
        for a in runs
        for b in runs
        if a.number < b.number
        and max(a.began_at, b.began_at) + 0.1 < min(a.ended_at, b.ended_at)
    ]


async def play(deployment: harness.Deployment) -> list[str]:
    """Lose the starts of a run, then restart its worker behind a cut."""
    config = harness.make_config(
        [
            harness.make_route("resin-scan", "/scan/", 1),
            harness.make_route("colour-match", "/match/", 2, target_ms=3000),
        ],
        [{"Name": "south", "ApiKeys": ["k-south"]}],
    )
    await deployment.start(config, workers=24, instances=3)
    fleet, record = deployment.fleet, deployment.record

    await deployment.submit("/match/", "k-south", [OTHER], harness.Work(1e9))
    await asyncio.sleep(4.0)
    job_id = f"{random.randrange(16**16):016x}"
    late = LateOrders(fleet, job_id)
    if harness.TROUBLE:
        fleet.loses_order = late.loses
    # Its worker is free again when the task is placed a second time.
    await deployment.submit("/scan/", "k-south", [TASK], harness.Work(1.2))
    orders_before = fleet.order_count
    await deployment.submit(
        "/scan/", "k-south", [TASK], harness.Work(WORK_S), job_id=job_id
    )
    window_ends = record.now() + WINDOW_S
    if harness.TROUBLE:
        await asyncio.sleep(1.0)
        if late.worker is None:
            raise harness.CannotRunError("no start was sent")
        await asyncio.sleep(late.began_at + RESTART_AFTER_S - record.now())
        late.worker.is_cut_from_store = True
        late.worker.restart()
    await asyncio.sleep(max(window_ends - record.now(), 0.0))
    orders = fleet.order_count - orders_before
    record.add("orders", count=orders, unanswered=late.lost)
    if late.lost > SHARE_LOST * orders:
        raise harness.CannotRunError("too many orders got no answer")
    if harness.TROUBLE:
        cut_ends = late.began_at + RESTART_AFTER_S + CUT_S
        await asyncio.sleep(max(cut_ends - record.now(), 0.0))
        late.worker.is_cut_from_store = False
    await asyncio.sleep(WORK_S)
    if not fleet.began(job_id):
        raise harness.CannotRunError("the job has not begun")
    return overlaps(fleet, job_id)


if __name__ == "__main__":
    raise SystemExit(
        harness.run_case(play, pathlib.Path(__file__).resolve().parent)
    )
