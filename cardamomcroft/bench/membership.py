"""Weigh ways to spread membership and sums among many instances."""

import dataclasses
import json
import random

import cyclopts
from thriftpy2 import protocol as protocols
from thriftpy2 import transport as transports

from cardamomcroft.cli import running
from cardamomcroft.membership import digests
from cardamomcroft.peers import rpc

SIZES = (7, 28, 84, 350)
REGIONS = 3
PERIOD_S = 1.0
ROUND_LIMIT = 2000
CALL_OVERHEAD_BYTES = 44  # message header, name and struct ends, both ways
COUNT_BYTES = 60  # a count with its beacon, as one call
BUDGET_BYTES_PER_S = 3000

app = cyclopts.App(name="bench membership", help="Weigh dissemination.")


@dataclasses.dataclass(frozen=True, slots=True)
class Weighed:
    """Hold one way's cost; seconds are until every instance knows."""

    way: str
    instances: int
    bytes_per_s: float
    busiest_bytes_per_s: float
    news_s: float | None
    cut_region_s: float
    sum_s: float | None


def exchange_bytes() -> int:
    """Return the encoded bytes of one exchange, both ways."""
    digest = digests.Digest(
        "entry-123",
        "entry-123@01234567",
        "region-0",
        "data-centre-7",
        1_000_000,
        900_000,
        True,
        False,
        "10.11.12.13:7400",
        "10.11.12.13:7500",
        4,
    )
    buffer = transports.TMemoryBuffer()
    rpc.digest_to_wire(digest).write(protocols.TBinaryProtocol(buffer))
    return 2 * len(buffer.getvalue()) + CALL_OVERHEAD_BYTES


def spread_rounds(count: int, pairs_of_round, generator: random.Random) -> int:
    """Return the rounds until news of instance 0 is known to all."""
    informed = {0}
    for number in range(1, ROUND_LIMIT):
        heard = set(informed)
        for one, other in pairs_of_round(number, generator):
            if one in informed or other in informed:
                heard |= {one, other}
        informed = heard
        if len(informed) == count:
            return number
    return ROUND_LIMIT


def mesh_pairs(count: int):
    """Return every pair in every round."""
    pairs = [
        (one, other) for one in range(count) for other in range(one + 1, count)
    ]
    return lambda number, generator: pairs


def turn_pairs(count: int):
    """Return each instance's next peer in turn."""
    return lambda number, generator: [
        (one, (one + 1 + (number - 1) % (count - 1)) % count)
        for one in range(count)
    ]


def regional_pairs(count: int):
    """Return turns within regions and a mesh of one relay each."""
    regions = [list(range(start, count, REGIONS)) for start in range(REGIONS)]

    def pairs(number, generator):
        found = []
        for members in regions:
            if len(members) > 1:
                found.extend(
                    (members[one], members[other])
                    for one, other in turn_pairs(len(members))(
                        number, generator
                    )
                )
        relays = [members[0] for members in regions if members]
        found.extend(
            (one, other)
            for place, one in enumerate(relays)
            for other in relays[place + 1 :]
        )
        return found

    return pairs


def heard_rounds(count: int, pairs_of_round, generator: random.Random) -> int:
    """Return the rounds until each has spoken with every other itself."""
    heard = [{one} for one in range(count)]
    for number in range(1, ROUND_LIMIT):
        for one, other in pairs_of_round(number, generator):
            heard[one].add(other)
            heard[other].add(one)
        if all(len(known) == count for known in heard):
            return number
    return ROUND_LIMIT


def count_rounds(
    count: int, has_beacon: bool, generator: random.Random
) -> int:
    """Return the rounds until combined counts are exact everywhere.

    Counts are handed on whole and add up where they meet; whoever holds
    the most tells the others. A beacon draws them to one instance, as in
    "Gossip-Based Counting in Dynamic Networks".
    """
    tokens = [1] * count
    estimate = [1] * count
    beacon = list(range(count))
    for number in range(1, ROUND_LIMIT):
        for one in range(count):
            other = generator.randrange(count - 1)
            other += other >= one
            lowest = min(beacon[one], beacon[other])
            beacon[one] = beacon[other] = lowest
            target = other
            if has_beacon and beacon[one] != one:
                target = beacon[one]
            if not (has_beacon and beacon[one] == one):
                tokens[target] += tokens[one]
                tokens[one] = 0
            estimate[target] = max(estimate[target], tokens[target])
            best = max(estimate[one], estimate[other])
            estimate[one] = estimate[other] = best
        if min(estimate) == count:
            return number
    return ROUND_LIMIT


def measure_schemes(count: int, seed: int) -> list[Weighed]:
    """Return every way's cost at a number of instances."""
    generator = random.Random(seed)
    call_bytes_per_s = 2 * exchange_bytes() / PERIOD_S
    region = max(2, count // REGIONS)
    relay_bytes_per_s = call_bytes_per_s + (REGIONS - 1) * call_bytes_per_s
    found = [
        _measure_pairwise(
            "full mesh", count, count - 1, call_bytes_per_s, mesh_pairs, region
        ),
        _measure_pairwise(
            "in turn", count, 1, call_bytes_per_s, turn_pairs, region
        ),
        _measure_pairwise(
            "in turn, relay",
            count,
            1,
            call_bytes_per_s,
            regional_pairs,
            region,
        ),
    ]
    found[-1] = dataclasses.replace(
        found[-1], busiest_bytes_per_s=relay_bytes_per_s, sum_s=None
    )
    for has_beacon in (False, True):
        busiest = (count if has_beacon else 2) * COUNT_BYTES / PERIOD_S
        rounds = count_rounds(count, has_beacon, generator)
        region_rounds = count_rounds(region, has_beacon, generator)
        found.append(
            Weighed(
                "counting, beacon" if has_beacon else "counting",
                count,
                2 * COUNT_BYTES / PERIOD_S,
                busiest,
                None,
                region_rounds * PERIOD_S,
                rounds * PERIOD_S,
            )
        )
    return found


def _measure_pairwise(
    way: str,
    count: int,
    calls: int,
    call_bytes_per_s: float,
    make_pairs,
    region: int,
) -> Weighed:
    """Weigh a way by whom each instance calls in each round."""
    generator = random.Random(0)
    within = mesh_pairs if make_pairs is mesh_pairs else turn_pairs
    return Weighed(
        way,
        count,
        calls * call_bytes_per_s,
        calls * call_bytes_per_s,
        spread_rounds(count, make_pairs(count), generator) * PERIOD_S,
        spread_rounds(region, within(region), generator) * PERIOD_S,
        None
        if make_pairs is regional_pairs
        else heard_rounds(count, make_pairs(count), generator) * PERIOD_S,
    )


@app.default
def main(*, seed: int = 1, json_output: bool = False) -> None:
    """Print bytes a second and times for each way and size."""
    rows = [
        dataclasses.asdict(one)
        for count in SIZES
        for one in measure_schemes(count, seed)
    ]
    if json_output:
        print(json.dumps({"exchange_bytes": exchange_bytes(), "rows": rows}))
        return
    print(f"one exchange: {exchange_bytes()} bytes")
    for row in rows:
        print(row)


if __name__ == "__main__":
    running.run(app)
