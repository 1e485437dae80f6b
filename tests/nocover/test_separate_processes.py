"""End-to-end test with each daemon and stand-in in a separate process."""

from processes import ProcessSite, call


def build_job(count, **changes):
    tasks = [
        {'id': f't{number}', 'payload': {'work_ms': 5, 'n': number}}
        for number in range(count)
    ]
    return {
        'service': 'caster',
        'team': 'surveyors',
        'deadline_ms': 5000,
        'tasks': tasks,
        **changes,
    }


def test_a_job_runs_once_and_every_program_stops_with_exit_code_0(tmp_path):
    with ProcessSite(tmp_path, speeds=(1.0, 2.0)) as site:
        entry = site.entries['larissa-entry-0']
        answer = call(
            'POST',
            entry.addresses['callers'],
            '/v1/submissions',
            build_job(30),
        )
        assert answer.status == 200
        assert {
            task: found['echo']['n']
            for task, found in answer.body['results'].items()
        } == {f't{number}': number for number in range(30)}
        starts = site.starts_by_reference()
        assert len(starts) == 30
        assert set(starts.values()) == {1}
        programs = [entry, *site.backends.values(), site.log]
        codes = {program.name: program.stop() for program in programs}
    assert set(codes.values()) == {0}, codes
