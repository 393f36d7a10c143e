"""Bound the cancellations whose job has no stored submission.

They are kept because an unanswered submission may still be stored after its
cancelling. Callers may invent any number of job ids.
"""

import collections

from cardamomcroft.scheduling import codec

# Each takes about 0.5 kB of every instance's memory, and a page of a load
# holds 500 of them.
MAX_UNMATCHED = 5_000
MAX_UNMATCHED_PER_ACCOUNT = 1_000


class UnmatchedCancellations:
    """Cancellations by job id, counted by client account."""

    def __init__(self) -> None:
        """Start without a cancellation."""
        self._by_id: dict[str, codec.Cancellation] = {}
        self._count_by_account: collections.Counter[str] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._by_id)

    def get(self, job_id: str) -> codec.Cancellation | None:
        """Return the newest cancellation of an id."""
        return self._by_id.get(job_id)

    def put(self, job_id: str, cancellation: codec.Cancellation) -> None:
        """Add a cancellation or replace an earlier one of the id."""
        self.drop(job_id)
        self._by_id[job_id] = cancellation
        self._count_by_account[cancellation.account] += 1

    def drop(self, job_id: str) -> None:
        """Remove a cancellation, if there is one."""
        known = self._by_id.pop(job_id, None)
        if known is None:
            return
        self._count_by_account[known.account] -= 1
        if not self._count_by_account[known.account]:
            del self._count_by_account[known.account]

    def has_room(self, job_id: str, account: str) -> bool:
        """Return whether the account may cancel the id."""
        if job_id in self._by_id:
            return True
        return (
            len(self._by_id) < MAX_UNMATCHED
            and self._count_by_account[account] < MAX_UNMATCHED_PER_ACCOUNT
        )
