"""Serve the stand-ins over HTTP, with endpoints to inject faults."""

import asyncio
import datetime
import typing
import zlib

from aiohttp import web

from cardamomcroft.ports import addresses
from cardamomcroft.ports import http
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import parsing
from cardamomcroft.standin import instances
from cardamomcroft.standin import log
from cardamomcroft.standin import workers

MAX_BODY_BYTES = 10_000_000

_CONVERTER = parsing.make_converter(strict=False)
_COMMANDS = {
    "reserve": messages.Reserve,
    "start": messages.Start,
    "stop": messages.Stop,
    "renew": messages.Renew,
    "execute": messages.Execute,
}


def _to_response(result) -> web.Response:
    if result.is_error():
        return web.json_response(
            http.failure_to_dict(result.error), status=503
        )
    return web.json_response(_CONVERTER.unstructure(result.ok))


async def _drop(request: web.Request) -> web.Response:
    """Close the connection without an answer, as if it were lost."""
    request.transport.close()
    return web.Response()


async def _respond(request: web.Request, result) -> web.Response:
    lost = (
        result.is_error()
        and result.error.verdict is verdict.Verdict.MAY_HAVE_RUN
    )
    return await _drop(request) if lost else _to_response(result)


def log_app(standin: log.StandinLog) -> web.Application:
    """Return an app that serves a log; PUT /faults sets its faults."""

    async def append(request: web.Request) -> web.Response:
        data = await request.json()
        result = await standin.append(data["payloads"])
        return await _respond(
            request, result.map(lambda offset: {"offset": offset})
        )

    async def read(request: web.Request) -> web.Response:
        result = await standin.read(
            int(request.query["offset"]),
            int(request.query["limit"]),
            datetime.timedelta(seconds=float(request.query["wait_s"])),
        )
        return await _respond(request, result)

    async def faults(request: web.Request) -> web.Response:
        data = await request.json()
        standin.down = data.get("down", standin.down)
        standin.lost_answers = data.get("lost_answers", standin.lost_answers)
        standin.retention = data.get("retention", standin.retention)
        if "delay_s" in data:
            standin.delay = datetime.timedelta(seconds=data["delay_s"])
        return web.json_response(dict(standin.injected))

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_post("/records", append)
    app.router.add_get("/records", read)
    app.router.add_put("/faults", faults)
    return app


def workers_app(standin: workers.StandinWorkers) -> web.Application:
    """Return an app that serves workers, each under its own path."""

    async def command(request: web.Request) -> web.Response:
        operation = request.match_info["operation"]
        command_type = _COMMANDS.get(operation)
        if command_type is None:
            raise web.HTTPNotFound
        structured = _CONVERTER.structure(await request.json(), command_type)
        call = getattr(standin, operation)
        result = await call(request.match_info["worker_id"], structured)
        return await _respond(request, result)

    async def faults(request: web.Request) -> web.Response:
        data = await request.json()
        worker = standin.by_id[request.match_info["worker_id"]]
        _set_faults(worker, data)
        return web.json_response(dict(standin.injected))

    async def runs(request: web.Request) -> web.Response:
        return web.json_response(list_runs(standin))

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_get("/runs", runs)
    app.router.add_put("/{worker_id}/faults", faults)
    app.router.add_post("/{worker_id}/{operation}", command)
    return app


def _set_faults(worker: workers.StandinWorker, data: dict) -> None:
    worker.leaving = data.get("leaving", worker.leaving)
    if "unreachable" in data:
        worker.cut(data["unreachable"])
    worker.faults.accepts_while_leaving = data.get(
        "accepts_while_leaving", worker.faults.accepts_while_leaving
    )
    worker.faults.lost_answers.update(data.get("lost_answers", {}))
    worker.faults.crossed_answers = data.get(
        "crossed_answers", worker.faults.crossed_answers
    )
    if "service_s" in data:
        worker.faults.service_time = datetime.timedelta(
            seconds=data["service_s"]
        )
    if data.get("lapse"):
        worker.expire_leases()
    if data.get("lose"):
        worker.lose()


def list_runs(standin: workers.StandinWorkers) -> dict[str, typing.Any]:
    """Return all runs and requests of the workers, for bench checks."""
    for worker in standin.by_id.values():
        worker.refresh()
    return {
        "runs": [
            {
                "worker_id": run.worker_id,
                "job_id": run.task.job_id,
                "attempt": run.task.attempt,
                "member": run.task.member,
                "started_s": run.started_at.total_seconds(),
                "ended_s": run.ended_at.total_seconds()
                if run.ended_at is not None
                else None,
                "finished": run.finished,
                "result_lost": run.lost_at is not None,
            }
            for worker in standin.by_id.values()
            for run in worker.runs
        ],
        "executed_bodies": [
            body
            for worker in standin.by_id.values()
            for body in worker.executed_bodies
        ],
        "last_work_s": {
            worker_id: worker.last_work_at.total_seconds()
            for worker_id, worker in standin.by_id.items()
        },
        "injected": dict(standin.injected),
    }


def instances_app(standin: instances.StandinInstances) -> web.Application:
    """Return an app that serves a list; PUT and DELETE change it."""

    async def listed(request: web.Request) -> web.Response:
        answer = _to_response(await standin.instances())
        tag = f'"{zlib.crc32(answer.body):08x}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=http.NOT_MODIFIED)
        answer.headers["ETag"] = tag
        return answer

    async def put(request: web.Request) -> web.Response:
        entry = _CONVERTER.structure(
            await request.json(), messages.ListedInstance
        )
        standin.put(entry)
        return web.json_response({})

    async def remove(request: web.Request) -> web.Response:
        standin.remove(request.match_info["instance_id"])
        return web.json_response({})

    app = web.Application()
    app.router.add_get("/instances", listed)
    app.router.add_put("/instances", put)
    app.router.add_delete("/instances/{instance_id}", remove)
    return app


async def serve(app: web.Application, address: str) -> web.AppRunner:
    """Listen on the address; the returned runner stops the server."""
    host, port = addresses.split_address(address)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


async def serve_until_cancelled(app: web.Application, address: str) -> None:
    """Serve until the task is cancelled."""
    runner = await serve(app, address)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
