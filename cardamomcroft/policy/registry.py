"""List the policies by name."""

from cardamomcroft.policy import base
from cardamomcroft.policy import fair
from cardamomcroft.policy import fifo
from cardamomcroft.policy import quota
from cardamomcroft.settings import documents

CURRENT = "cardamomcroft"

VERSIONS = (
    fair.Options(
        CURRENT,
        lends_first=(documents.Urgency.BATCH,),
        class_weights=(24.0, 3.0, 1.0),
        keeps_plans=True,
        spares_within=True,
        orders_callers=True,
    ),
    fair.Options(
        "cardamomcroft-3",
        lends_first=(documents.Urgency.BATCH,),
        class_weights=(24.0, 3.0, 1.0),
        keeps_plans=True,
        spares_within=True,
    ),
    fair.Options(
        "cardamomcroft-2",
        lends_first=(documents.Urgency.BATCH,),
        class_weights=(24.0, 3.0, 1.0),
    ),
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
