"""Decode the operator's configuration."""

import datetime
import json

from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import models

CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
_MS = datetime.timedelta(milliseconds=1)


def _decode_queue(data: dict) -> models.Queue:
    advice = data.get("Advice")
    return models.Queue(
        data["Name"],
        data["Service"],
        data.get("Priority", 0),
        data.get("MaxAttempts", 1),
        data.get("SlackFactor", 1.0),
        data.get("TargetLatencyMs", 0) * _MS,
        models.AdviceTerms(
            advice["DecisionMs"] * _MS,
            advice["PeriodMs"] * _MS,
            advice["ValidMs"] * _MS,
        )
        if advice
        else None,
    )


def decode_evacuation(key: str) -> str | None:
    """Return the data centre that a key evacuates; None for other keys.

    Raise ValueError if the key names no data centre.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    data_centre = key.removeprefix(EVACUATION_PREFIX)
    if not data_centre.strip():
        raise ValueError("key names no data centre")
    return data_centre


def decode(value: bytes) -> configuration.Configuration:
    """Decode a version; raise ValueError or KeyError if it is invalid."""
    data = json.loads(value)
    accounts = tuple(
        configuration.Account(
            tenant["Name"],
            tenant.get("Priority", 0),
            (tenant.get("Guaranteed") or {}).get("Gpu", 0),
            tuple(tenant.get("ApiKeys") or ()),
        )
        for tenant in data.get("Tenants") or ()
    )
    routes = tuple(
        configuration.Route(
            route["Host"],
            route["PathPrefix"],
            _decode_queue(route),
            route.get("Public", False),
        )
        for route in data["Routes"]
    )
    limits = data.get("Limits") or {}
    return configuration.Configuration(
        data["Version"],
        routes,
        accounts,
        limits.get("MaxBodyBytes", 262144),
    )
