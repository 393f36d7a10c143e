"""List the policies by name."""

from cardamomcroft.policy import base
from cardamomcroft.policy import fifo


def by_name() -> dict[str, base.Policy]:
    """Return a new policy for each name."""
    policies = (fifo.FirstFit(),)
    return {policy.name: policy for policy in policies}
