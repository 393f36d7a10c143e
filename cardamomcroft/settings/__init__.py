"""Define and validate settings."""

from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.settings import parsing

__all__ = ["documents", "instance", "parsing"]
