"""How long a job waits for a cell while no owner of one is in contact.

This addresses the restart of all VMs, the loss of the only owner in contact, and
partitions that end.  A takeover takes about a second.  A job that is refused
meanwhile comes back later than it could have been done.
"""

#: A job that takes more than this multiple of its response time objective is of
#: no use to its caller.
MAX_USEFUL_RATIO = 3.0
#: Longest wait, in seconds: a takeover that takes longer has probably failed, and
#: how long the next one takes is unknown.
MAX_CELL_WAIT_S = 1.2
#: Time within which the cells of a site are taken over one after the other, in
#: seconds.
TAKEOVER_SPREAD_S = 0.1


def cell_wait_s(objective_s: float, run_s: float, wait_s: float) -> float:
    """Returns how long a job may wait for a cell, in seconds.

    It is 0 if the job would not end while it is of use, so that it is to be
    refused at once.

    Args:
        objective_s: Response time objective of the job, in seconds.
        run_s: Expected run time of the job without other load, in seconds.
        wait_s: Time that the caller waits, in seconds.
    """
    useful_s = min(MAX_USEFUL_RATIO * objective_s, wait_s)
    return min(max(useful_s - run_s, 0), MAX_CELL_WAIT_S)


def must_wait(
    reported: int, listed: int, first_report_s: float, now: float
) -> bool:
    """Returns whether a job waits for more load reports.

    After a restart of all VMs, the cells are taken over within some hundredths of
    a second.  All jobs that have waited would otherwise go to the first of them.

    Args:
        reported: Number of cells that can run the job and report their load.
        listed: Number of cells that can run it; without any, nothing is to be
            waited for.
        first_report_s: Time of the first report after a time without any, in
            seconds.
        now: Time in seconds.
    """
    if not reported:
        return listed > 0
    return reported < listed and now < first_report_s + TAKEOVER_SPREAD_S
