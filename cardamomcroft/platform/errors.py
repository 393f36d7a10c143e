"""Name the errors that a call over HTTP may raise."""

import aiohttp

# RuntimeError: aiohttp raises it when a connection is closed between two reads
# of an answer; JSON that is nested too deeply raises RecursionError, a
# subclass. The others of the second half come from malformed answers.
CALL_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    OSError,
    RuntimeError,
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    AttributeError,
    OverflowError,
)
