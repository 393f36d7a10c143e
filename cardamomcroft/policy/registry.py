"""List the policies by name."""

import dataclasses

from cardamomcroft.policy import base
from cardamomcroft.policy import fair
from cardamomcroft.policy import fifo
from cardamomcroft.policy import quota
from cardamomcroft.settings import documents

CURRENT = "cardamomcroft"

_LENDING = fair.Options(
    "cardamomcroft-2",
    lends_first=(documents.Urgency.BATCH,),
    class_weights=(24.0, 3.0, 1.0),
)
_KEEPING = dataclasses.replace(
    _LENDING, name="cardamomcroft-3", keeps_plans=True
)
_BY_CALLER = dataclasses.replace(
    _KEEPING, name="cardamomcroft-4", orders_callers=True
)
_BY_WORK = dataclasses.replace(
    _BY_CALLER,
    name="cardamomcroft-5",
    requeue_s=5000.0,
    shortest_first=True,
)
_BY_PART = dataclasses.replace(_BY_WORK, name="cardamomcroft-6", fair_tries=4)
_WITH_HEADROOM = dataclasses.replace(
    _BY_PART, name="cardamomcroft-7", headroom=0.02
)
_WITHIN_SHARE = dataclasses.replace(
    _WITH_HEADROOM, name=CURRENT, lends_within_share=True
)

VERSIONS = (
    _WITHIN_SHARE,
    _WITH_HEADROOM,
    _BY_PART,
    _BY_WORK,
    _BY_CALLER,
    _KEEPING,
    _LENDING,
    fair.Options("cardamomcroft-1"),
)


def by_name() -> dict[str, base.Policy]:
    """Return a new policy for each name; earlier versions have a number."""
    policies = (
        *(fair.FairPolicy(options) for options in VERSIONS),
        fifo.FirstFit(),
        quota.Quota(),
    )
    return {policy.name: policy for policy in policies}
