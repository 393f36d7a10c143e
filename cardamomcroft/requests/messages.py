"""Define a caller's request and its reply."""

import dataclasses
import datetime

from cardamomcroft.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Describe a request; ``deadline`` is on the monotonic clock."""

    request_id: str
    account: str
    caller: str
    body: str
    deadline: datetime.timedelta
    key: str = ""
    is_idempotent: bool = False
    urgency: documents.Urgency = documents.Urgency.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Carry the complete answer of a request that ran."""

    request_id: str
    body: str
    worker_id: str
    tries: int = 1
