"""Whether a job may be admitted under the configuration in force."""

from camphorlink.internal.core.request.job import Answer, Job, not_run
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.version.manifest import Manifest

NO_MANIFEST_RETRY_S = 1.0


def refuse_job(
    job: Job,
    manifest: Manifest,
    now: float,
) -> Answer | None:
    """Says why a job can't be run at all.

    Args:
        job: What the caller submitted.
        manifest: The manifest in force, empty before the first one.
        now: Core time in seconds.

    Returns:
        The refusal, or ``None`` if the job may be queued.
    """
    if not manifest.digest:
        return not_run(Reason.NO_MANIFEST, retry_after_s=NO_MANIFEST_RETRY_S)
    if job.service not in manifest.services_by_name:
        return not_run(Reason.UNKNOWN_SERVICE, job.service)
    if job.team not in manifest.teams_by_name:
        return not_run(Reason.UNKNOWN_TEAM, job.team)
    if job.deadline_s <= now:
        return not_run(Reason.DEADLINE_PASSED)
    return None
