"""Fold the records of jobs; transitions follow the job chart."""

import dataclasses

import immutables

from cardamomcroft.charts import loading
from cardamomcroft.log import records
from cardamomcroft.state import models

# Ended jobs whose status can still be read, besides those of declarations in
# force.
MAX_FINAL_JOBS = 2000
_DECLARED_PREFIX = "declared:"

_CHART = loading.load("job")


def _transition(job: models.Job, trigger: str, **changes) -> models.Job | None:
    phase = _CHART.next_state(job.phase.value, trigger)
    if phase is None:
        return None
    return dataclasses.replace(job, phase=models.Phase(phase), **changes)


def _rejected(
    state: models.State, offset: int, reason: str, entity_id: str = ""
):
    return state, models.Applied(offset, False, reason, entity_id)


def _accepted(state: models.State, offset: int, job: models.Job):
    applied = models.Applied(offset, True, entity_id=job.job_id)
    return _store_job(state, offset, job), applied


def _store_job(
    state: models.State, offset: int, job: models.Job
) -> models.State:
    jobs = state.jobs.set(job.job_id, job)
    if not job.phase.is_final:
        return state.evolve(jobs=jobs)
    final_jobs = state.final_jobs.set(offset, job.job_id)
    state = state.evolve(jobs=jobs, final_jobs=final_jobs)
    return _evict(state) if len(final_jobs) > MAX_FINAL_JOBS else state


def _evict(state: models.State) -> models.State:
    jobs, keys = state.jobs, state.job_keys
    final_jobs, failed_jobs = state.final_jobs, state.failed_jobs
    # Without its key, the next owner would submit a declared job again.
    oldest = [
        offset
        for offset in sorted(final_jobs)
        if not _is_declared(state, jobs[final_jobs[offset]])
    ]
    if len(oldest) <= MAX_FINAL_JOBS:
        return state
    for offset in oldest[: MAX_FINAL_JOBS // 10]:
        job = jobs[final_jobs[offset]]
        jobs = jobs.delete(job.job_id)
        keys = keys.delete(_key(job))
        final_jobs = final_jobs.delete(offset)
        failed_jobs = _forget_failures(failed_jobs, job)
    return state.evolve(
        jobs=jobs,
        job_keys=keys,
        final_jobs=final_jobs,
        failed_jobs=failed_jobs,
    )


def _key(job: models.Job | records.JobSubmitted) -> models.CallerKey:
    return models.CallerKey(job.account, job.caller, job.key)


def declared_key(path: str, revision: int) -> str:
    """Return the key of the job declared by a revision of a document."""
    return f"{_DECLARED_PREFIX}{path}:{revision}"


def _is_declared(state: models.State, job: models.Job) -> bool:
    """Return whether the declaration of a job is in force."""
    path = job.key.removeprefix(_DECLARED_PREFIX).rpartition(":")[0]
    entry = state.settings.get(path)
    return entry is not None and job.key == declared_key(path, entry.revision)


def submit(state: models.State, offset: int, record: records.Record):
    """Accept a job once per caller key, if its account has not ended."""
    body = record.body
    known = state.job_keys.get(_key(body))
    if known is not None:
        return _rejected(state, offset, "repeated key", known)
    if body.job_id in state.jobs:
        return _rejected(state, offset, "job id in use")
    account = find_account(state, body.account)
    if account is None:
        return _rejected(state, offset, "no such account")
    if account.ends_at is not None and record.at >= account.ends_at:
        return _rejected(state, offset, "account ended")
    job = models.Job(
        body.job_id,
        body.account,
        body.caller,
        body.key,
        body.region,
        body.spec,
        offset,
        record.at,
    )
    keys = state.job_keys.set(_key(body), body.job_id)
    return _accepted(state.evolve(job_keys=keys), offset, job)


def find_account(state: models.State, account: str):
    """Return the document of the account ``<team>/<name>``, or None."""
    team, _, name = account.partition("/")
    entry = state.settings.get(f"teams/{team}/accounts/{name}")
    return entry.document if entry else None


def cancel(state: models.State, offset: int, record: records.Record):
    """Request that the owner end the job."""
    job = state.jobs.get(record.body.job_id)
    if job is None:
        return _rejected(state, offset, "no such job")
    updated = _transition(job, "cancel", cancel_requested=True)
    if updated is None:
        return _rejected(state, offset, f"job is {job.phase.value}")
    return _accepted(state, offset, updated)


def start(state: models.State, offset: int, record: records.Record):
    """Record the placements of an attempt that the owner started."""
    body = record.body
    job = state.jobs.get(body.job_id)
    if job is None:
        return _rejected(state, offset, "no such job")
    claim = state.claims.get(job.region)
    if claim is None or claim.epoch != body.token:
        return _rejected(state, offset, "stale epoch")
    if body.attempt <= job.attempt:
        return _rejected(state, offset, "stale attempt")
    updated = _transition(
        job,
        "start",
        attempt=body.attempt,
        starts=job.starts + 1,
        token=body.token,
        placements=body.placements,
        failed_on=frozenset(),
        finished=frozenset(),
        ended=frozenset(),
        started_at=record.at,
        former=job.former if body.results_of else None,
        results_of=body.results_of,
    )
    if updated is None:
        return _rejected(state, offset, f"job is {job.phase.value}")
    return _accepted(_index_tasks(state, updated), offset, updated)


def _index_tasks(state: models.State, job: models.Job) -> models.State:
    by_worker = state.tasks_by_worker
    for member, placement in enumerate(job.placements):
        tasks = by_worker.get(placement.worker_id, immutables.Map())
        tasks = tasks.set(job.task(member), member)
        by_worker = by_worker.set(placement.worker_id, tasks)
    return state.evolve(tasks_by_worker=by_worker)


def _unindex_tasks(
    state: models.State, job: models.Job, members
) -> models.State:
    by_worker = state.tasks_by_worker
    for member in members:
        worker_id = job.placements[member].worker_id
        tasks = by_worker.get(worker_id, immutables.Map())
        if job.task(member) not in tasks:
            continue
        tasks = tasks.delete(job.task(member))
        if tasks:
            by_worker = by_worker.set(worker_id, tasks)
        else:
            by_worker = by_worker.delete(worker_id)
    return state.evolve(tasks_by_worker=by_worker)


def end_tasks(state: models.State, offset: int, record: records.Record):
    """Record ended members; complete jobs whose members all finished."""
    changed = False
    for end in record.body.ends:
        state, is_new = _end_task(state, offset, end)
        changed = changed or is_new
    reason = "" if changed else "nothing new"
    return state, models.Applied(offset, changed, reason)


def _end_task(
    state: models.State, offset: int, end: records.TaskEnd
) -> tuple[models.State, bool]:
    job = state.jobs.get(end.task.job_id)
    if job is None or job.phase.is_final:
        return state, False
    member = end.task.member
    if end.task.attempt != job.attempt or not _is_new_end(job, end):
        return state, False
    if member >= len(job.placements):
        return state, False
    ended = job.ended | {member}
    if end.kind is records.EndKind.FINISHED:
        updated = _finish_member(job, member, ended)
    else:
        updated = _lose_member(job, end, ended)
    state = _note_end(state, job, end)
    state = _unindex_tasks(state, job, (member,))
    return _store_job(state, offset, updated), True


def _note_end(
    state: models.State, job: models.Job, end: records.TaskEnd
) -> models.State:
    """Note a failure on a worker; a finished task there ends the others."""
    worker_id = job.placements[end.task.member].worker_id
    failed = state.failed_jobs
    if end.kind is records.EndKind.FAILED:
        known = failed.get(worker_id, frozenset())
        failed = failed.set(worker_id, known | {job.job_id})
    elif end.kind is records.EndKind.FINISHED and worker_id in failed:
        failed = failed.delete(worker_id)
    return state.evolve(failed_jobs=failed)


def _forget_failures(
    failed: immutables.Map[str, frozenset[str]], job: models.Job
) -> immutables.Map[str, frozenset[str]]:
    for worker_id in job.failed_workers:
        others = failed.get(worker_id, frozenset()) - {job.job_id}
        if others:
            failed = failed.set(worker_id, others)
        elif worker_id in failed:
            failed = failed.delete(worker_id)
    return failed


def _is_new_end(job: models.Job, end: records.TaskEnd) -> bool:
    """Return whether an end is new; a member seen lost may have finished."""
    if end.task.member not in job.ended:
        return True
    is_finished = end.kind is records.EndKind.FINISHED
    return is_finished and end.task.member not in job.finished


def _lose_member(
    job: models.Job, end: records.TaskEnd, ended: frozenset[int]
) -> models.Job:
    failed_on, failed_workers = job.failed_on, job.failed_workers
    if end.kind is records.EndKind.FAILED:
        worker_id = job.placements[end.task.member].worker_id
        failed_on = failed_on | {worker_id}
        failed_workers = failed_workers | {worker_id}
    return _transition(
        job,
        "lose_member",
        ended=ended,
        detail=end.detail,
        failed_on=failed_on,
        failed_workers=failed_workers,
        checkpoint_s=max(job.checkpoint_s, end.checkpoint_s),
    )


def _finish_member(
    job: models.Job, member: int, ended: frozenset[int]
) -> models.Job:
    finished = job.finished | {member}
    job = dataclasses.replace(job, ended=ended, finished=finished)
    if len(finished) < len(job.placements):
        return job
    return _transition(job, "finish", detail="", former=None)


def settle(state: models.State, offset: int, record: records.Record):
    """Requeue, cancel or fail a job that has no running members left."""
    body = record.body
    job = state.jobs.get(body.job_id)
    if job is None or job.phase.is_final:
        return _rejected(state, offset, "job is not active")
    claim = state.claims.get(job.region)
    if claim is None or claim.epoch != body.token:
        return _rejected(state, offset, "stale epoch")
    if body.attempt < job.attempt:
        return _rejected(state, offset, "stale attempt")
    state = _unindex_tasks(state, job, range(len(job.placements)))
    return _accepted(state, offset, _settle_job(job, body))


def _settle_job(job: models.Job, body: records.AttemptSettled) -> models.Job:
    failures = job.failures + int(body.blamed)
    if job.cancel_requested:
        trigger = "settle_cancelled"
    elif failures >= job.spec.max_attempts:
        trigger = "settle_failed"
    else:
        trigger = "requeue"
    return _transition(
        job,
        trigger,
        attempt=body.attempt,
        failures=failures,
        placements=(),
        failed_on=frozenset(),
        finished=frozenset(),
        ended=frozenset(),
        detail=body.reason,
        checkpoint_s=max(job.checkpoint_s, body.checkpoint_s),
        former=_former_attempt(job) if trigger == "requeue" else None,
        results_of=0,
    )


def _former_attempt(job: models.Job) -> models.FormerAttempt | None:
    """Return the latest attempt that ran; a failed launch is none."""
    if not job.placements or job.results_of:
        return job.former
    return models.FormerAttempt(job.attempt, job.placements, job.finished)
