"""Encode the stored records of the kinds of runs."""

import hashlib
import itertools
import json
import math

import immutables

from cardamomcroft.runtimes import histogram
from cardamomcroft.runtimes import kinds
from cardamomcroft.scheduling import codec

VERSION = 1
_NAMES = {
    kinds.LEAF: 4,
    kinds.IMAGE: 2,
    kinds.SHAPE: 2,
    kinds.QUEUE: 1,
    kinds.DECLARED: 1,
}
# Places on the scale of buckets; above those of the longest and below those
# of the shortest time.
_MAX_BUCKET = 100
_MAX_WEIGHT = 100.0  # twice what decaying weights add up to
_DIGITS = 2  # of a weight


def record_key(key: kinds.Key) -> str:
    """Return the key of a kind's record; names may be too long for one."""
    raw = codec.dump(list(key))
    return "k/" + hashlib.blake2b(raw, digest_size=12).hexdigest()


def encode(key: kinds.Key, kind: kinds.Kind) -> bytes:
    """Encode a kind: version, key, owner and the evidence by account."""
    rows = [
        [account, _flatten(known.done), _flatten(known.bounds)]
        for account, known in sorted(kind.by_account.items())
    ]
    return codec.dump([VERSION, list(key), kind.owner, rows])


def decode(value: bytes) -> tuple[kinds.Key, kinds.Kind]:
    """Decode a kind; raise ValueError if it is damaged or of later versions.

    Fields that a later version adds at the end are ignored.
    """
    try:
        version, names, owner, rows, *_ = json.loads(value)
        if version != VERSION:
            raise ValueError(f"version {version!r} is unknown")
        key = _decode_key(names)
        if len(rows) > kinds.MAX_ACCOUNTS_PER_KIND:
            raise ValueError(f"{len(rows)} accounts")
        by_account = {
            _text(account): histogram.Histogram(
                _unflatten(done), _unflatten(bounds)
            )
            for account, done, bounds, *_ in rows
        }
        return key, kinds.Kind(_text(owner), immutables.Map(by_account))
    except (TypeError, KeyError, RecursionError, OverflowError) as error:
        raise ValueError(repr(error)) from error


def _decode_key(names: list) -> kinds.Key:
    level, *rest = map(_text, names)
    if len(rest) != _NAMES.get(level):
        raise ValueError(f"unknown kind {names!r}")
    return (level, *rest)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a name")
    return value


def _flatten(weights: histogram.Weights) -> list[float]:
    return [
        number
        for bucket, weight in weights
        for number in (bucket, round(weight, _DIGITS))
    ]


def _unflatten(numbers: list) -> histogram.Weights:
    """Return the weights; raise ValueError if they are not consistent."""
    buckets, weights = numbers[::2], numbers[1::2]
    if len(buckets) != len(weights):
        raise ValueError("a bucket has no weight")
    if not all(
        type(bucket) is int and abs(bucket) <= _MAX_BUCKET
        for bucket in buckets
    ):
        raise ValueError("a bucket is out of range")
    if any(low >= high for low, high in itertools.pairwise(buckets)):
        raise ValueError("the buckets are out of order")
    if not all(
        type(weight) in (int, float)
        and math.isfinite(weight)
        and 0 < weight <= _MAX_WEIGHT
        for weight in weights
    ):
        raise ValueError("a weight is out of range")
    return tuple(zip(buckets, map(float, weights), strict=True))
