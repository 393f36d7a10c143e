"""Fold the records of requests with an idempotency key."""

import dataclasses
import datetime

from cardamomcroft.log import records
from cardamomcroft.ports import verdict
from cardamomcroft.state import models

KEY_RETENTION = datetime.timedelta(hours=6)
MAX_KEYS = 20_000  # keyed requests in the state at once


def intend(state: models.State, offset: int, record: records.Record):
    """Accept the first request with a key and reject repeats."""
    body = record.body
    key = models.CallerKey(body.account, body.caller, body.key)
    state = _expire_keys(state)
    use = state.request_keys.get(key)
    # A key may be reused if its request certainly did not run.
    if use is not None and use.outcome is not verdict.Verdict.NOT_RUN:
        applied = models.Applied(offset, False, "repeated key", use.entity_id)
        return state, applied
    if len(state.request_keys) >= MAX_KEYS:
        return state, models.Applied(offset, False, "too many keys")
    requests = state.requests
    if use is not None:
        requests = requests.delete(use.entity_id)
    use = models.KeyUse(body.request_id, state.at)
    return state.evolve(
        request_keys=state.request_keys.set(key, use),
        requests=requests.set(body.request_id, key),
        key_order=state.key_order.set(offset, key),
    ), models.Applied(offset, True, entity_id=body.request_id)


def _expire_keys(state: models.State) -> models.State:
    # Offsets only grow, so the scan resumes where the last one stopped.
    offset = state.oldest_key
    order, keys, requests = state.key_order, state.request_keys, state.requests
    while order and offset < state.applied:
        key = order.get(offset)
        use = keys.get(key)
        if use is not None:
            if state.at - use.at < KEY_RETENTION:
                break
            requests = requests.delete(use.entity_id)
            keys = keys.delete(key)
        if key is not None:
            order = order.delete(offset)
        offset += 1
    return state.evolve(
        oldest_key=offset,
        key_order=order,
        request_keys=keys,
        requests=requests,
    )


def end(state: models.State, offset: int, record: records.Record):
    """Store the verdict and answer for callers that repeat the request."""
    body = record.body
    key = state.requests.get(body.request_id)
    if key is None or state.request_keys[key].entity_id != body.request_id:
        return state, models.Applied(offset, False, "no such request")
    use = dataclasses.replace(
        state.request_keys[key], outcome=body.verdict, answer=body.answer
    )
    state = state.evolve(request_keys=state.request_keys.set(key, use))
    return state, models.Applied(offset, True, entity_id=body.request_id)
