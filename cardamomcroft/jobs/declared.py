"""Submit the jobs that teams declare in the settings."""

from cardamomcroft.jobs import dependencies as bundles
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.settings import documents
from cardamomcroft.state import jobs as folds
from cardamomcroft.state import models


class DeclaredJobs:
    """Submit each revision of a declared job once."""

    def __init__(self, dependencies: bundles.Dependencies) -> None:
        """Track submitted keys, since the log shows them only later."""
        self._dependencies = dependencies
        self._submitted: set[models.CallerKey] = set()

    def submit(self, state: models.State) -> None:
        """Submit this region's declared jobs that the log does not hold."""
        for path, entry in state.settings.items():
            if not isinstance(entry.document, documents.DeclaredJob):
                continue
            body = submission(state, path, entry)
            key = models.CallerKey(body.account, body.caller, body.key)
            is_known = key in state.job_keys or key in self._submitted
            if body.region == self._dependencies.region and not is_known:
                self._submitted.add(key)
                self._dependencies.appender.submit(
                    body, appenders.Priority.OPERATOR
                )


def submission(
    state: models.State, path: str, entry: models.SettingsEntry
) -> records.JobSubmitted:
    """Build the submission record of a declared job."""
    document: documents.DeclaredJob = entry.document
    team = path.split("/")[1]
    account_path = f"teams/{team}/accounts/{document.account}"
    account = state.settings.get(account_path)
    return records.JobSubmitted(
        f"declared-{path.replace('/', '.')}-{entry.revision}",
        f"{team}/{document.account}",
        document.caller,
        folds.declared_key(path, entry.revision),
        account.document.region if account else "",
        document.job,
    )
