"""Check the fold for repeated, late and racing records and snapshots."""

import dataclasses
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from cardamomcroft.log import records
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.state import fold
from cardamomcroft.state import models
from cardamomcroft.state import snapshots
from tests import harness

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
ACCOUNT_PATH = "teams/shops/accounts/north"


def record(record_id, body, valid_until=10_000):
    """Return a record with a body."""
    return records.Record(record_id, "a@1", NOW, valid_until, body)


def change(revision, weight=1.0, path=ACCOUNT_PATH):
    """Return a record body that changes an account."""
    document = harness.account_document(weight=weight)
    edit = records.Edit(path, revision, parsing.to_json(document))
    return records.SettingsChanged("root", (edit,))


def submission(key, job_id):
    """Return a record body that submits a job under a key."""
    return records.JobSubmitted(
        job_id,
        harness.ACCOUNT,
        "counter",
        key,
        harness.REGION,
        documents.JobSpec("scan"),
    )


def fold_records(found):
    """Return the state and outcomes of folding records from offset 0 on."""
    state, outcomes = models.State(), []
    for offset, one in enumerate(found):
        state, applied = fold.fold(state, offset, one)
        outcomes.append(applied)
    return state, outcomes


class FoldTest(unittest.TestCase):
    """Check compare-and-set, repeated and late records."""

    def test_one_of_two_racing_changes_wins(self):
        state, outcomes = fold_records(
            [record("a", change(-1, 2.0)), record("b", change(-1, 3.0))]
        )
        self.assertEqual(
            [True, False], [outcome.accepted for outcome in outcomes]
        )
        self.assertEqual(0, outcomes[1].revision)
        self.assertEqual(2.0, state.settings[ACCOUNT_PATH].document.weight)
        audit = state.audit[ACCOUNT_PATH]
        self.assertEqual([True, False], [entry.accepted for entry in audit])

    def test_repeated_append_is_harmless(self):
        one = record("a", change(-1, 2.0))
        later = record("b", change(0, 3.0))
        state, outcomes = fold_records([one, later, one])
        self.assertFalse(outcomes[2].accepted)
        self.assertEqual(3.0, state.settings[ACCOUNT_PATH].document.weight)

    def test_late_copy_is_rejected_after_its_id_is_forgotten(self):
        late = record("a", change(-1), valid_until=5)
        state, _ = fold.fold(models.State(), 6, late)
        self.assertNotIn(ACCOUNT_PATH, state.settings)

    def test_ids_are_forgotten_only_once_copies_are_out_of_date(self):
        horizon = records.VALIDITY_OFFSETS
        one = record("a", submission("k", "j"), valid_until=horizon)
        state, _ = fold.fold(models.State(), 0, one)
        for offset in range(1, horizon + 2):
            state = fold.skip(state, offset)
        _, applied = fold.fold(state, horizon + 2, one)
        self.assertFalse(applied.accepted)

    def test_voided_record_is_rejected_when_it_arrives(self):
        voided = record("a", change(-1))
        state, outcomes = fold_records(
            [record("v", records.RecordVoided("a")), voided]
        )
        self.assertTrue(outcomes[0].accepted)
        self.assertFalse(outcomes[1].accepted)
        self.assertNotIn(ACCOUNT_PATH, state.settings)

    def test_one_rejected_edit_rejects_all(self):
        good = change(-1).edits[0]
        bad = dataclasses.replace(good, path="teams/x/accounts/y")
        bad = dataclasses.replace(bad, expected_revision=7)
        body = records.SettingsChanged("root", (good, bad))
        state, outcomes = fold_records([record("a", body)])
        self.assertFalse(outcomes[0].accepted)
        self.assertEqual(0, len(state.settings))

    def test_guarantee_beyond_the_fleet_is_refused(self):
        document = harness.account_document(
            guarantee=(documents.Guarantee(8, 3),)
        )
        fleet = harness.fleet_document(["w1", "w2"])
        body = records.SettingsChanged(
            "root",
            (
                records.Edit("fleet/d", -1, parsing.to_json(fleet)),
                records.Edit(ACCOUNT_PATH, -1, parsing.to_json(document)),
            ),
        )
        _, outcomes = fold_records([record("a", body)])
        self.assertFalse(outcomes[0].accepted)
        self.assertIn(ACCOUNT_PATH, outcomes[0].reason)

    def test_stale_epoch_cannot_start(self):
        claim = records.SchedulerClaimed(harness.REGION, -1, "a@1")
        newer = records.SchedulerClaimed(harness.REGION, 2, "b@1")
        start = records.GangStarted("j", 9, 2, ())
        _, outcomes = fold_records(
            [
                record("s", change(-1)),
                record("j", submission("k", "j")),
                record("a", claim),
                record("b", newer),
                record("c", start),
            ]
        )
        self.assertTrue(outcomes[3].accepted)
        self.assertEqual("stale epoch", outcomes[4].reason)

    def test_ended_account_accepts_no_work(self):
        ended = harness.account_document(ends_at=NOW)
        edit = records.Edit(ACCOUNT_PATH, -1, parsing.to_json(ended))
        body = records.SettingsChanged("root", (edit,))
        _, outcomes = fold_records(
            [record("a", body), record("j", submission("k", "j"))]
        )
        self.assertEqual("account ended", outcomes[1].reason)

    def test_key_of_a_request_that_did_not_run_may_be_used_again(self):
        def intent(request_id):
            return records.RequestIntended(request_id, "a", "c", "k")

        ended = records.RequestEnded("r1", verdict.Verdict.NOT_RUN)
        _, outcomes = fold_records(
            [
                record("1", intent("r1")),
                record("2", intent("r2")),
                record("3", ended),
                record("4", intent("r3")),
                record("5", intent("r4")),
            ]
        )
        self.assertEqual(
            [True, False, True, True, False],
            [outcome.accepted for outcome in outcomes],
        )

    def test_lost_member_that_had_finished_completes_the_job(self):
        task = messages.TaskId("j", 9, 0)
        cell = messages.Cell(0, 1)
        lost = records.TaskEnd(task, records.EndKind.LOST)
        finished = records.TaskEnd(task, records.EndKind.FINISHED)
        claim = records.SchedulerClaimed(harness.REGION, -1, "a@1")
        placement = records.Placement("w", cell)
        state, _ = fold_records(
            [
                record("s", change(-1)),
                record("j", submission("k", "j")),
                record("a", claim),
                record("b", records.GangStarted("j", 9, 2, (placement,))),
                record("c", records.TasksEnded("w", (lost,))),
                record("d", records.TasksEnded("w", (finished,))),
            ]
        )
        self.assertIs(models.Phase.COMPLETED, state.jobs["j"].phase)


bodies = strategies.one_of(
    strategies.builds(
        change, strategies.integers(-1, 4), strategies.sampled_from((1.0, 2.0))
    ),
    strategies.builds(
        submission,
        strategies.sampled_from(("k1", "k2", "k3")),
        strategies.sampled_from(("j1", "j2", "j3")),
    ),
    strategies.builds(
        records.JobCancelled,
        strategies.sampled_from(("j1", "j2", "j3")),
        strategies.just("me"),
    ),
    strategies.builds(
        records.SchedulerClaimed,
        strategies.just(harness.REGION),
        strategies.integers(-1, 6),
        strategies.sampled_from(("a@1", "b@1")),
    ),
    strategies.builds(
        records.RequestIntended,
        strategies.sampled_from(("r1", "r2")),
        strategies.just("acc"),
        strategies.just("c"),
        strategies.sampled_from(("k1", "k2")),
    ),
)
histories = strategies.lists(
    strategies.tuples(strategies.sampled_from("abcdefgh"), bodies),
    max_size=25,
).map(lambda rows: [record(name, body) for name, body in rows])


class FoldPropertyTest(unittest.TestCase):
    """Check snapshots and encodings over arbitrary histories."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(histories, strategies.integers(0, 25))
    def test_snapshot_anywhere_changes_nothing(self, history, cut):
        whole, outcomes = fold_records(history)
        state, _ = fold_records(history[:cut])
        state = snapshots.decode(snapshots.encode(state))
        later = []
        for offset in range(len(history[:cut]), len(history)):
            state, applied = fold.fold(state, offset, history[offset])
            later.append(applied)
        self.assertEqual(outcomes[len(history[:cut]) :], later)
        self.assertEqual(whole.jobs, state.jobs)
        self.assertEqual(whole.settings, state.settings)
        self.assertEqual(whole.claims, state.claims)
        self.assertEqual(whole.request_keys, state.request_keys)
        self.assertEqual(whole.tasks_by_worker, state.tasks_by_worker)
        self.assertEqual(whole.audit, state.audit)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(histories)
    def test_records_survive_their_encoding(self, history):
        for one in history:
            self.assertEqual(one, records.decode(records.encode(one)).ok)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(strategies.text())
    def test_unreadable_record_is_no_crash(self, text):
        self.assertTrue(records.decode(text).is_error())
