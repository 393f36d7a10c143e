"""Interpret the state charts kept in files."""

from cardamomcroft.charts import loading

__all__ = ["loading"]
