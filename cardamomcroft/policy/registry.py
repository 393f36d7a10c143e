"""Register the policies and their earlier versions by name."""

import dataclasses

from cardamomcroft.policy import base
from cardamomcroft.policy import fair
from cardamomcroft.policy import fifo
from cardamomcroft.policy import quota
from cardamomcroft.settings import documents

CURRENT = "cardamomcroft"

_BATCH_BORROWS_FIRST = fair.Options(
    "cardamomcroft-2",
    borrows_first=(documents.Urgency.BATCH,),
    class_weights=(24.0, 3.0, 1.0),
)
_RESUMING_PLANS = dataclasses.replace(
    _BATCH_BORROWS_FIRST, name="cardamomcroft-3", resumes_plans=True
)
_CALLERS_BEFORE_CLASSES = dataclasses.replace(
    _RESUMING_PLANS, name="cardamomcroft-4", callers_before_classes=True
)
_LEAST_WORK_FIRST = dataclasses.replace(
    _CALLERS_BEFORE_CLASSES,
    name="cardamomcroft-5",
    requeue_cost_s=5000.0,
    least_work_first=True,
)
_FAIR_RECLAIM = dataclasses.replace(
    _LEAST_WORK_FIRST, name="cardamomcroft-6", max_reclaim_tries=4
)
_WITH_HEADROOM = dataclasses.replace(
    _FAIR_RECLAIM, name="cardamomcroft-7", batch_headroom=0.02
)
_SHARE_EXEMPT = dataclasses.replace(
    _WITH_HEADROOM, name=CURRENT, exempts_within_share=True
)

VERSIONS = (
    _SHARE_EXEMPT,
    _WITH_HEADROOM,
    _FAIR_RECLAIM,
    _LEAST_WORK_FIRST,
    _CALLERS_BEFORE_CLASSES,
    _RESUMING_PLANS,
    _BATCH_BORROWS_FIRST,
    fair.Options("cardamomcroft-1"),
)


def by_name() -> dict[str, base.Policy]:
    """Return a new policy for each name; numbers mark earlier versions."""
    policies = (
        *(fair.FairPolicy(options) for options in VERSIONS),
        fifo.FirstFit(),
        quota.Quota(),
    )
    return {policy.name: policy for policy in policies}
