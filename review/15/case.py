"""Waiting jobs are not counted after a runner and an owner are lost."""

import json
import os
import time
from pathlib import Path

from small_site import (
    BOUNDS,
    Site,
    is_troubled,
    job,
    queue_config,
    run_case,
    runner_rows,
)

ZONES = ('banska-b', 'brezno-c', 'zvolen-a')
ZONE = 'banska-b'
RUNNERS_PER_ZONE = 4
RUNNER_CPU = 16_000
TASK_CPU = 8_000
TASK_MS = 1_000
JOBS = 220
SAMPLES_S = 10
KILLED_S = 3
ENDED = {'completed', 'failed', 'cancelled'}


def play(folder):
    config = queue_config(target_ms=60_000)
    runners = runner_rows(ZONES, RUNNERS_PER_ZONE, RUNNER_CPU)
    with Site(folder, ZONES, 2, runners, config) as site:
        owner = _owner_of(site, ZONE)
        vms = [vm for vm in site.vms if vm is not owner]
        accepted = []
        for number in range(1, JOBS + 1):
            job_id = f'{number:016x}'
            vm = vms[number % len(vms)]
            status, _ = site.request(
                vm, 'POST', job_id, job(TASK_MS, TASK_CPU)
            )
            if status == 200:
                accepted.append(job_id)
        if is_troubled():
            site.control(
                'crash', {'runner': f'i-{ZONE}-0', 'down_s': None}
            )
            time.sleep(0.5)
            site.kill(owner)
        site.record.write('end of the traffic')
        other = next(vm for vm in vms if vm.zone != ZONE)
        # The bound of MIXED, which is longer than `contact_ms` after the kill.
        time.sleep(KILLED_S)
        if is_troubled():
            owner.start()
        time.sleep(BOUNDS['visible_ms'] / 1000 + 2 - KILLED_S)
        samples = []
        end_s = time.monotonic() + SAMPLES_S
        while time.monotonic() < end_s:
            _, answer = site.request(other, 'GET', '')
            # Read after the answer: what has begun meanwhile isn't missed.
            begun = {
                row[3].split('.')[0]
                for row in site.update_runs()
                if row[1] == 'start'
            }
            not_begun = len(set(accepted) - begun)
            samples.append((answer.get('pending', 0), not_begun))
            time.sleep(0.5)
        site.wait(
            lambda: all(
                site.request(other, 'GET', job_id)[1].get('state') in ENDED
                for job_id in accepted
            ), 60, 'all jobs have ended',
        )  # fmt: skip
        print(f'accepted {len(accepted)}; pending beside the jobs that had not '
              f'begun, each 0.5 s: {samples}')
        wrong = [
            (pending, not_begun)
            for pending, not_begun in samples
            if pending < not_begun / 2
        ]
        if len(wrong) > 1:
            return [
                f'MIXED: in {len(wrong)} of {len(samples)} answers pending is '
                f'under half of the jobs that have not begun: {wrong}'
            ]
        return []


def _owner_of(site, zone):
    """Returns the VM that took the cell of a zone last, by the VMs' logs."""
    owner_by_term = {}
    for vm in site.vms:
        path = Path(site.folder) / f'{vm.name}.log'
        for line in path.read_text().splitlines():
            if 'cell taken over' in line:
                entry = json.loads(line)
                if entry['cell'] == zone:
                    owner_by_term[entry['term']] = vm
    return owner_by_term[max(owner_by_term)]


run_case(os.path.dirname(__file__), play)
