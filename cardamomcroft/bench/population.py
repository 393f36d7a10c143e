"""Fill a log and stand-in workers with a fleet of a given size."""

import dataclasses

from cardamomcroft.log import records
from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.standin import log
from cardamomcroft.standin import workers

UNREACHED_S = 1_000_000.0  # a run, lease or hold that outlasts the bench
TOKEN_DIGEST = "0" * 64
MAX_GANG_MEMBERS = 32
FIRST_EPOCH = -1  # expected by the first claim of a region


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of the measured system, by the number of its parts."""

    workers: int = 24
    accelerators: int = 192
    tasks: int = 100
    instances: int = 7
    accounts: int = 4
    settings: int = 20
    waiting: int = 10
    regions: int = 1
    data_centres: int = 4


class Population:
    """Writes settings and jobs into a log and starts tasks on workers."""

    def __init__(
        self,
        size: Size,
        standin_log: log.StandinLog,
        standin_workers: workers.StandinWorkers,
        clock: base.Clock,
        workers_address: str,
    ) -> None:
        """Fill the stand-ins; workers are reached at ``workers_address``."""
        self.size = size
        self._log = standin_log
        self._workers = standin_workers
        self._clock = clock
        self._workers_address = workers_address
        self._count = 0
        self._worker_ids_by_region: dict[str, list[str]] = {}

    def region(self, number: int) -> str:
        """Return the region of the given number, in round-robin order."""
        return f"region-{number % self.size.regions}"

    def _append(self, body: records.Body) -> int:
        self._count += 1
        record = records.Record(
            f"seed-{self._count}",
            "seed",
            self._clock.now(),
            self._log.end + records.VALIDITY_OFFSETS,
            body,
        )
        self._log.payloads.append(records.encode(record))
        return self._log.end - 1

    def fill(self, incarnation: str) -> None:
        """Write settings, claims, running gangs and waiting jobs.

        The incarnation holds the claim of the first region.
        """
        self._append(records.SettingsChanged("seed", tuple(self._edits())))
        for number in range(self.size.regions):
            holder = incarnation if number == 0 else "other@0"
            self._append(
                records.SchedulerClaimed(
                    self.region(number), FIRST_EPOCH, holder
                )
            )
        self._fill_running()
        for number in range(self.size.waiting):
            spec = documents.JobSpec(
                "waiting", 128, 8, adjacency=documents.Adjacency.RACK
            )
            self._submit(f"waiting-{number}", number, spec)

    def _edits(self):
        yield from self._fleet_edits()
        for number in range(self.size.accounts):
            account = documents.Account(
                self.region(number),
                (),
                1.0,
                callers={
                    name: documents.Principal(TOKEN_DIGEST) for name in "abc"
                },
            )
            yield self._edit(f"teams/t{number}/accounts/main", account)
        for number in range(self.size.settings):
            operators = documents.Operators(
                {"lead": documents.Principal(TOKEN_DIGEST)}
            )
            yield self._edit(f"teams/s{number}/operators", operators)

    def _fleet_edits(self):
        size = self.size
        accelerator_worker_count = size.accelerators // 8
        for centre in range(size.data_centres):
            region = self.region(centre)
            numbers = range(centre, size.workers, size.data_centres)
            declared = {}
            for number in numbers:
                worker_id = f"w{number}"
                accelerators = 8 if number < accelerator_worker_count else 0
                worker = documents.Worker(
                    f"http://{self._workers_address}/{worker_id}",
                    accelerators,
                    64,
                    256,
                )
                declared[worker_id] = worker
                self._workers.add(worker_id, worker.units, worker.slots)
                self._worker_ids_by_region.setdefault(region, []).append(
                    worker_id
                )
            racks = {"r1": documents.Rack(declared)}
            document = documents.DataCentre(region, racks)
            yield self._edit(f"fleet/dc{centre}", document)

    def _edit(self, path: str, document: documents.Document) -> records.Edit:
        return records.Edit(path, -1, parsing.to_json(document))

    def _submit(
        self, job_id: str, number: int, spec: documents.JobSpec
    ) -> None:
        self._append(
            records.JobSubmitted(
                job_id,
                f"t{number % self.size.accounts}/main",
                "a",
                job_id,
                self.region(number),
                spec,
            )
        )

    def _fill_running(self) -> None:
        tasks_left = self.size.tasks
        number = 0
        free_units = {
            region: [
                (worker_id, unit)
                for unit in range(self.units_per_worker())
                for worker_id in worker_ids
            ]
            for region, worker_ids in self._worker_ids_by_region.items()
        }
        while tasks_left > 0:
            region = self.region(number)
            free = free_units[region]
            members = min(MAX_GANG_MEMBERS, tasks_left, len(free))
            if not members:
                break
            chosen, free_units[region] = free[:members], free[members:]
            self._start_gang(number, chosen)
            tasks_left -= members
            number += 1

    def units_per_worker(self) -> int:
        """Return the number of units of each worker that tasks may use."""
        return -(-self.size.tasks // self.size.workers) + 1

    def _start_gang(
        self, number: int, free_units: list[tuple[str, int]]
    ) -> None:
        job_id = f"running-{number}"
        spec = documents.JobSpec(
            "running", len(free_units), 0, run_s=UNREACHED_S, payload="x" * 40
        )
        self._submit(job_id, number, spec)
        placements = tuple(
            records.Placement(worker_id, messages.Cell(unit, 1))
            for worker_id, unit in free_units
        )
        epoch = self._epoch(self.region(number))
        self._append(records.GangStarted(job_id, 1, epoch, placements))
        for member, placement in enumerate(placements):
            task = messages.TaskId(job_id, 1, member)
            worker = self._workers.by_id[placement.worker_id]
            worker.reserve(
                messages.Reserve(task, epoch, placement.cell, UNREACHED_S)
            )
            worker.start(
                messages.Start(task, epoch, UNREACHED_S, "", UNREACHED_S)
            )

    def _epoch(self, region: str) -> int:
        return 1 + int(region.partition("-")[2])
