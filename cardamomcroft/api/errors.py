"""Convert failures to HTTP responses that carry the verdict."""

import math

from aiohttp import web
import structlog

from cardamomcroft.ports import verdict
from cardamomcroft.settings import parsing

STATUS_BY_REASON = {
    verdict.Reason.INVALID: 422,
    verdict.Reason.UNAUTHORIZED: 401,
    verdict.Reason.FORBIDDEN: 403,
    verdict.Reason.NOT_FOUND: 404,
    verdict.Reason.CONFLICT: 409,
    verdict.Reason.OVERLOADED: 429,
    verdict.Reason.UNAVAILABLE: 503,
    verdict.Reason.LEAVING: 503,
    verdict.Reason.STALE: 503,
    verdict.Reason.RESTARTED: 503,
    verdict.Reason.REMOTE: 502,
    verdict.Reason.TIMEOUT: 504,
}

_LOGGER = structlog.get_logger()


def error_body(
    failure: verdict.Failure, problems: parsing.Problems = ()
) -> dict:
    """Return the response body for a failure."""
    return {
        "error": {
            "reason": failure.reason.value,
            "detail": failure.detail,
            "verdict": failure.verdict.value,
            "problems": [
                {
                    "path": problem.path,
                    "location": problem.location,
                    "detail": problem.detail,
                }
                for problem in problems
            ],
        }
    }


def respond(
    failure: verdict.Failure,
    status: int | None = None,
    problems: parsing.Problems = (),
    revision: int | None = None,
) -> web.Response:
    """Return the response for a failure."""
    headers = {}
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        headers["Retry-After"] = str(seconds)
    body = error_body(failure, problems)
    if revision is not None:
        body["error"]["revision"] = revision
    return web.json_response(
        body,
        status=status or STATUS_BY_REASON[failure.reason],
        headers=headers,
    )


def refuse(
    reason: verdict.Reason, detail: str, status: int | None = None
) -> web.Response:
    """Return a refusal, whose verdict is that nothing ran."""
    return respond(verdict.not_run(reason, detail), status)


def invalid(problems: parsing.Problems, status: int = 422) -> web.Response:
    """Return the response that lists the problems of an invalid input."""
    detail = str(problems[0])
    failure = verdict.not_run(verdict.Reason.INVALID, detail)
    return respond(failure, status, problems)


@web.middleware
async def error_middleware(request: web.Request, handler):
    """Convert every error of a handler to the common error body."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < 400:
            raise
        reason = {
            404: verdict.Reason.NOT_FOUND,
        }.get(error.status, verdict.Reason.INVALID)
        failure = verdict.not_run(reason, error.reason)
        answer = respond(failure, error.status)
        if "Allow" in error.headers:
            answer.headers["Allow"] = error.headers["Allow"]
        return answer
    except Exception:
        _LOGGER.exception("handler_failed", path=request.path)
        failure = verdict.may_have_run(verdict.Reason.REMOTE, "internal error")
        return respond(failure, 500)
