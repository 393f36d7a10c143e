"""Decode the operator's configuration."""

import datetime
import json

from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import models

CONFIG_KEY = "config"
_MS = datetime.timedelta(milliseconds=1)


def _queue(plain: dict) -> models.Queue:
    advice = plain.get("Advice")
    return models.Queue(
        plain["Name"],
        plain["Service"],
        plain.get("Priority", 0),
        plain.get("MaxAttempts", 1),
        plain.get("SlackFactor", 1.0),
        plain.get("TargetLatencyMs", 0) * _MS,
        models.AdviceTerms(
            advice["DecisionMs"] * _MS,
            advice["PeriodMs"] * _MS,
            advice["ValidMs"] * _MS,
        )
        if advice
        else None,
    )


def decode(value: bytes) -> configuration.Configuration:
    """Read a version; raise ValueError or KeyError if it is damaged."""
    plain = json.loads(value)
    accounts = {}
    for tenant in plain.get("Tenants", ()):
        account = configuration.Account(
            tenant["Name"],
            tenant.get("Priority", 0),
            (tenant.get("Guaranteed") or {}).get("Gpu", 0),
        )
        accounts |= {key: account for key in tenant.get("ApiKeys", ())}
    routes = tuple(
        configuration.Route(
            route["Host"],
            route["PathPrefix"],
            _queue(route),
            route.get("Public", False),
        )
        for route in plain["Routes"]
    )
    limits = plain.get("Limits") or {}
    return configuration.Configuration(
        plain["Version"],
        routes,
        accounts,
        limits.get("MaxBodyBytes", 262144),
    )
