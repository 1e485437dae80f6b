"""All processes are killed while many jobs with long specs are stored."""

import concurrent.futures
import os
import time

from small_site import (
    BOUNDS,
    KEEP_S,
    Site,
    is_troubled,
    job,
    queue_config,
    run_case,
    runner_rows,
)

ZONES = ('banska-b', 'brezno-c', 'zvolen-a')
JOBS = 700
JOBS_PER_S = 70
SPEC_BYTES = 4_000
DOWN_S = 0.8
#: Jobs are stored for longer than the store keeps its history before the fault.
QUIET_S = KEEP_S + 4
SERVED_S = 5


def play(folder):
    config = queue_config(target_ms=600_000)
    with Site(folder, ZONES, 2, runner_rows(ZONES, 2), config) as site:
        accepted = []
        document = job(5000, 4000, 4)
        document['spec'] = document['spec'].ljust(SPEC_BYTES, ' ')

        def submit(number):
            job_id = f'{number:016x}'
            vm = site.vms[number % len(site.vms)]
            return job_id, site.request(vm, 'POST', job_id, document)[0]

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            answers = []
            for number in range(1, JOBS + 1):
                answers.append(pool.submit(submit, number))
                time.sleep(1 / JOBS_PER_S)
        for answer in answers:
            job_id, status = answer.result()
            if status == 200:
                accepted.append(job_id)
        time.sleep(QUIET_S)
        before = _serve(site, 10_000, SERVED_S, accepted)
        if is_troubled():
            for vm in site.vms:
                site.kill(vm)
            time.sleep(DOWN_S)
            for vm in site.vms:
                vm.start()
            site.record.write('all processes were started again')
        time.sleep(BOUNDS['recovery_s'])
        after = _serve(site, 20_000, SERVED_S, accepted)
        time.sleep(BOUNDS['finish_s'])
        unknown = [
            job_id
            for job_id, replies in site.ask_all(accepted, site.vms[:2]).items()
            if not any(status == 200 for status, _ in replies)
        ]
        ready = sum(vm.is_ready() for vm in site.vms)
        site.update_runs()
        print(f'accepted {len(accepted)} jobs; {ready} of {len(site.vms)} VMs '
              f'are ready at the end; largest append that the store refused: '
              f'{site.largest_refused_append} bytes')
        broken = []
        if unknown:
            broken.append(
                f'LOST: {len(unknown)} of {len(accepted)} accepted jobs are not '
                f'known, or get no answer, {BOUNDS["finish_s"]} s after the '
                f'traffic'
            )
        if before >= 0.25 and after < 0.25:
            broken.append(
                f'RECOVER: {after:.0%} of the requests are served later than '
                f'{BOUNDS["recovery_s"]} s after the machines are back, '
                f'{before:.0%} before'
            )
        return broken


def _serve(site, first, duration_s, accepted):
    """Submits a small job each 0.2 s; returns the share that is accepted."""
    deadline_s = time.monotonic() + duration_s
    sent = served = 0
    while time.monotonic() < deadline_s:
        vm = site.vms[sent % len(site.vms)]
        job_id = f'{first + sent:016x}'
        sent += 1
        if site.request(vm, 'POST', job_id, job(200, 100))[0] == 200:
            served += 1
            accepted.append(job_id)
        time.sleep(0.2)
    return served / sent


run_case(os.path.dirname(__file__), play)
