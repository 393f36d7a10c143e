"""Configure structured logging."""

import logging
import sys

import structlog

from cardamomcroft.settings import instance


def configure(settings: instance.Logging, instance_id: str = "") -> None:
    """Log events to standard error, as JSON or formatted for a console."""
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(settings.level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    if instance_id:
        structlog.contextvars.bind_contextvars(instance_id=instance_id)
