"""Tests that each fault of a manifest is reported with its path and value."""

import pytest

from camphorlink.errors import ManifestError
from camphorlink.internal.core.version.manifest import check_manifest


def manifest(**sections):
    document = {
        'schema': 1,
        'services': {
            'caster': {
                'max_task_ms': 2000,
                'needs': ['gpu'],
                'task_classes': {'shift': {'typical_ms': 80, 'lookup': True}},
            },
        },
        'backends': {
            'r1': backend('10.0.0.1:9400'),
            'r2': backend('10.0.0.2:9400'),
        },
        'teams': {'surveyors': {'priority_class': 'urgent'}},
        'priority_classes': {'urgent': {'rank': 1}},
    }
    return {**document, **sections}


def backend(address, **changes):
    return {
        'address': address,
        'zone': 'larissa',
        'slots': 8,
        'connections': 64,
        'services': ['caster'],
        'capabilities': ['gpu'],
        **changes,
    }


def list_faults(document):
    with pytest.raises(ManifestError) as caught:
        check_manifest(document)
    return [(fault.path, fault.found) for fault in caught.value.faults]


def test_a_valid_manifest_is_parsed():
    checked = check_manifest(manifest())
    caster = checked.services_by_name['caster']
    assert caster.classes_by_name['shift'] == (80, True)
    assert caster.needs == {'gpu'}
    assert checked.teams_by_name['surveyors'].priority == 1


def test_the_digest_does_not_depend_on_the_order_of_keys():
    document = manifest()
    turned = dict(reversed(document.items()))
    assert check_manifest(document).digest == check_manifest(turned).digest


def test_all_faults_between_sections_are_reported():
    document = manifest(
        services={
            'caster': {
                'max_task_ms': 50,
                'needs': ['gpu'],
                'task_classes': {'shift': {'typical_ms': 80}},
            },
        },
        backends={
            'r1': backend('10.0.0.1:9400', services=['caster', 'nobody']),
            'r2': backend('10.0.0.2:9400', capabilities=[]),
        },
        teams={'a': {'priority_class': 'low'}},
    )
    assert list_faults(document) == [
        ('$.services.caster.task_classes.shift.typical_ms', '80'),
        ('$.backends.r1.services[1]', "'nobody'"),
        ('$.backends.r2.services[0]', "'caster'"),
        ('$.teams.a.priority_class', "'low'"),
    ]


@pytest.mark.parametrize(
    'address',
    ['10.0.0:1', '10.0.0.256:80', 'host:80', '10.0.0.1', '10.0.0.1:0',
     '10.0.0.1:65536', '10.0.0.1:８０', '10.0.0.1:+8'],
)  # fmt: skip
def test_an_address_is_an_ip_number_and_a_port(address):
    document = manifest(backends={'r1': backend(address)})
    assert list_faults(document) == [('$.backends.r1.address', repr(address))]


def test_unknown_keys_are_faults():
    document = manifest(teams={'a': {'quota': 3}}, more={})
    assert {path for path, _found in list_faults(document)} == {
        '$.teams.a.quota',
        '$.more',
    }


def test_deep_nesting_is_a_fault_and_no_recursion_error():
    deep = []
    for _level in range(5000):
        deep = [deep]
    assert list_faults(manifest(teams=deep))[0][0] == '$'
