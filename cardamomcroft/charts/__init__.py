"""State charts, which are defined in YAML files."""

from cardamomcroft.charts import loading

__all__ = ["loading"]
