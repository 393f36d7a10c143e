"""Compare schemes to spread membership and sums among instances."""

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
ROUND_PERIOD_S = 1.0
MAX_ROUNDS = 2000
CALL_OVERHEAD_BYTES = 44  # message header, name and struct ends, both ways
COUNT_BYTES = 60  # one call that carries a count and its beacon
BUDGET_BYTES_PER_S = 3000

app = cyclopts.App(
    name="bench membership", help="Compare dissemination schemes."
)


@dataclasses.dataclass(frozen=True, slots=True)
class Weighed:
    """Cost of one scheme; times are until every instance is informed."""

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
    """Return the rounds until an update of instance 0 has reached all."""
    informed = {0}
    for number in range(1, MAX_ROUNDS):
        next_informed = set(informed)
        for one, other in pairs_of_round(number, generator):
            if one in informed or other in informed:
                next_informed |= {one, other}
        informed = next_informed
        if len(informed) == count:
            return number
    return MAX_ROUNDS


def mesh_pairs(count: int):
    """Return a schedule of every pair in every round."""
    pairs = [
        (one, other) for one in range(count) for other in range(one + 1, count)
    ]
    return lambda number, generator: pairs


def turn_pairs(count: int):
    """Return a schedule in which each instance calls its peers in turn."""
    return lambda number, generator: [
        (one, (one + 1 + (number - 1) % (count - 1)) % count)
        for one in range(count)
    ]


def regional_pairs(count: int):
    """Return a schedule of turns within regions and a mesh of relays.

    Each region has one relay.
    """
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
    """Return the rounds until every pair has exchanged directly."""
    met_peers = [{one} for one in range(count)]
    for number in range(1, MAX_ROUNDS):
        for one, other in pairs_of_round(number, generator):
            met_peers[one].add(other)
            met_peers[other].add(one)
        if all(len(peers) == count for peers in met_peers):
            return number
    return MAX_ROUNDS


def count_rounds(
    count: int, has_beacon: bool, generator: random.Random
) -> int:
    """Return the rounds until every instance has the exact count.

    An instance forwards its whole count, and counts that meet are added;
    the highest count seen spreads as the estimate. A beacon directs counts
    to one instance, as in "Gossip-Based Counting in Dynamic Networks".
    """
    tokens = [1] * count
    estimate = [1] * count
    beacon = list(range(count))
    for number in range(1, MAX_ROUNDS):
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
    return MAX_ROUNDS


def measure_schemes(count: int, seed: int) -> list[Weighed]:
    """Return the cost of every scheme at a number of instances."""
    generator = random.Random(seed)
    call_bytes_per_s = 2 * exchange_bytes() / ROUND_PERIOD_S
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
        busiest = (count if has_beacon else 2) * COUNT_BYTES / ROUND_PERIOD_S
        rounds = count_rounds(count, has_beacon, generator)
        region_rounds = count_rounds(region, has_beacon, generator)
        found.append(
            Weighed(
                "counting, beacon" if has_beacon else "counting",
                count,
                2 * COUNT_BYTES / ROUND_PERIOD_S,
                busiest,
                None,
                region_rounds * ROUND_PERIOD_S,
                rounds * ROUND_PERIOD_S,
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
    """Measure a scheme that is given by its pairs in each round."""
    generator = random.Random(0)
    within = mesh_pairs if make_pairs is mesh_pairs else turn_pairs
    return Weighed(
        way,
        count,
        calls * call_bytes_per_s,
        calls * call_bytes_per_s,
        spread_rounds(count, make_pairs(count), generator) * ROUND_PERIOD_S,
        spread_rounds(region, within(region), generator) * ROUND_PERIOD_S,
        None
        if make_pairs is regional_pairs
        else heard_rounds(count, make_pairs(count), generator)
        * ROUND_PERIOD_S,
    )


@app.default
def main(*, seed: int = 1, json_output: bool = False) -> None:
    """Print bytes per second and times for each scheme and size."""
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
