"""Logs as JSON lines with time (UTC), level, event, node and fields."""

import logging
import typing
from collections.abc import MutableMapping

import structlog

FIRST_KEYS = ("time", "level", "event", "node")


def configure(
    stream: typing.TextIO, node: str, level: int = logging.INFO
) -> None:
    """Configures structlog to write the logs of this process to a stream.

    Args:
      stream: Destination of the lines.
      node: Name of this node, added to each line.
      level: The lowest level that is written.
    """

    def add_node(_, __, event: MutableMapping) -> MutableMapping:
        event["node"] = node
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            add_node,
            structlog.processors.format_exc_info,
            put_first_keys_first,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(stream),
        # Loggers are module globals, so a cached one would keep the stream of
        # an earlier configuration.
        cache_logger_on_first_use=False,
    )


def put_first_keys_first(_, __, event: MutableMapping) -> dict:
    """Returns the event with FIRST_KEYS first, as a structlog processor.

    The fixed order makes the lines easier for people to read.
    """
    first = {key: event[key] for key in FIRST_KEYS if key in event}
    return first | dict(event)


def get_logger() -> typing.Any:
    """Returns a logger that follows the most recent call of configure."""
    return structlog.get_logger()
