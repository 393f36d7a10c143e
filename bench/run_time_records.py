"""Print how many records of learned run times a day of jobs causes.

Run from the top of the repository: python -m bench.run_time_records

Each job is a step of one of three queues, nine demands and two images a team.
The kinds are written after each job, as 890 jobs a day are 97 s apart.
"""

import random

from cardamomcroft.runtimes import changes
from cardamomcroft.runtimes import codec
from cardamomcroft.runtimes import kinds
from cardamomcroft.scheduling import codec as records

TEAMS = 36
JOBS_A_DAY = 890
DAYS = (1, 10)
QUEUES = (("urgent", 2.1), ("ordinary", 9.4), ("batch", 8.1))
SPREAD = 0.4
IMAGES = 2
LENGTH_BYTES = 4  # precede each record of an append


def _subject(source: random.Random) -> tuple[kinds.Subject, float]:
    """Return a job's kind and its run time in seconds."""
    queue, median_s = source.choice(QUEUES)
    team = source.randrange(TEAMS)
    actual_s = median_s * source.lognormvariate(0, SPREAD)
    cores = source.choice((5_600, 7_500, 26_000))
    shape = f"{cores}/16384/{source.choice((1, 4, 8))}/gang"
    image = f"registry/image-{team}-{source.randrange(IMAGES)}"
    declared_s = actual_s * (1 + source.uniform(-0.9, 0.9))
    subject = kinds.Subject(f"team-{team}", queue, shape, image, declared_s)
    return subject, actual_s


def _size(key: kinds.Key, kind: kinds.Kind | None) -> int:
    value = codec.encode(key, kind) if kind else None
    return LENGTH_BYTES + records.record_bytes(codec.record_key(key), value)


def play(days: int) -> str:
    """Return what the jobs of some days cause."""
    source = random.Random(1)
    known, written = kinds.Kinds(), changes.Written()
    appends = count = size = 0
    for _ in range(days * JOBS_A_DAY):
        known = known.observe(*_subject(source), 1.0)
        keys = written.select(known)
        appends += bool(keys)
        count += len(keys)
        for key in keys:
            kind = known.by_key.get(key)
            size += _size(key, kind)
            written.record(key, kind)
    sizes = [_size(*pair) for pair in known.by_key.items()]
    hours = days * 24
    return (
        f"{days} days: {appends / hours:.0f} appends,"
        f" {count / hours:.0f} records and {size / hours / 1000:.1f} KB an"
        f" hour; {len(sizes)} kinds of {sum(sizes) / 1000:.1f} KB, the largest"
        f" of {max(sizes)} bytes"
    )


def main() -> None:
    """Print the records of a short and a long time."""
    for days in DAYS:
        print(play(days))


if __name__ == "__main__":
    main()
