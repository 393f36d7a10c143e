"""Print how large the scheduler's records get at the two-year size.

Run from the top of the repository: python -m bench.append_sizes
"""

from cardamomcroft.platform import store as platform_store
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger
from cardamomcroft.scheduling import models

WORKERS = 1407
RUNNING_TASKS = 17_000
JOB_WIDTH = 32
RUN_NUMBER = 20_017  # of the third term
CHECKPOINT = "00000bb87a21d94b"  # the protocol's example
MAX_RECORD_BYTES = 262_144


def _task(number: int) -> str:
    job, index = divmod(number, JOB_WIDTH)
    return str(models.TaskKey(f"{job:016x}", 0, 1, index))


def _assignment(worker: int, tasks: range) -> store.Entry:
    record = codec.Assignment(
        "10.120.130.140:31234",
        1_796_400_000_000,
        {_task(number): RUN_NUMBER for number in tasks},
    )
    key = ledger.Kind.ASSIGNMENT.key(f"i-{worker:017x}")
    return store.Entry(key, codec.encode_assignment(record))


def _progress(job: int, checkpoints: int, occurrences: int) -> store.Entry:
    step = codec.StepProgress(
        frozenset(range(JOB_WIDTH)),
        {},
        dict.fromkeys(range(checkpoints), CHECKPOINT),
    )
    steps = {(number, 0): step for number in range(occurrences)}
    record = codec.Progress("running", steps, 0.0, frozenset(steps))
    key = ledger.Kind.PROGRESS.key(f"{job:016x}")
    max_bytes = codec.MAX_RECORD_BYTES - codec.record_bytes(key, None)
    return store.Entry(key, codec.encode_progress(record, max_bytes))


def _open_progress(checkpoints: int) -> store.Entry:
    step = codec.StepProgress(
        frozenset(range(JOB_WIDTH)),
        {},
        dict.fromkeys(range(checkpoints), CHECKPOINT),
    )
    record = codec.Progress("running", {(0, 0): step})
    key = ledger.Kind.PROGRESS.key(f"{0:016x}")
    return store.Entry(key, codec.encode_progress(record))


def _size(*entries: store.Entry) -> int:
    return len(platform_store.encode_entries(entries))


def _first_above(size_of, step: int) -> int:
    count = step
    while size_of(count) <= MAX_RECORD_BYTES:
        count += step
    return count


def main() -> None:
    """Print the sizes of a full flush and of the largest records."""
    runs = RUNNING_TASKS // WORKERS + 1
    assignments = [
        _assignment(
            worker,
            range(worker * runs, min((worker + 1) * runs, RUNNING_TASKS)),
        )
        for worker in range(WORKERS)
    ]
    jobs = RUNNING_TASKS // JOB_WIDTH
    plain = [_progress(job, 0, 1) for job in range(jobs)]
    stopped = [_progress(job, JOB_WIDTH, 1) for job in range(jobs)]
    print("assignments of all workers:", _size(*assignments))
    print("progress of all jobs:", _size(*plain))
    print("progress of all jobs, all checkpointed:", _size(*stopped))
    print("largest flush:", _size(*assignments, *stopped))
    print(
        "first count above the record limit: runs of a worker",
        _first_above(lambda n: _size(_assignment(0, range(n))), 100),
        "checkpoints of a job",
        _first_above(lambda n: _size(_open_progress(n)), 100),
    )
    for count in (9_300, 9_400, 100_000):
        print(
            f"progress of a job, {count} occurrences done:",
            _size(_progress(0, 0, count)),
        )


if __name__ == "__main__":
    main()
