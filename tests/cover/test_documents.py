"""Tests that the files and programs named in the documents exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / 'src' / 'camphorlink'
NAMED = re.compile(r'`((?:[a-z_]+/)*[a-z_]+\.py)`')
LINK = re.compile(r'\]\(([^)#:]+)\)')


def test_every_file_of_the_architecture_page_exists():
    page = (ROOT / 'docs' / 'ARCHITECTURE.md').read_text()
    named = set(NAMED.findall(page))
    assert len(named) > 20
    directories = (PACKAGE, PACKAGE / 'internal')
    missing = [
        name
        for name in sorted(named)
        if not any((place / name).exists() for place in directories)
    ]
    assert missing == []


def test_every_link_between_documents_resolves():
    pages = [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]
    broken = [
        f'{page.relative_to(ROOT)}: {target}'
        for page in pages
        for target in LINK.findall(page.read_text())
        if not (page.parent / target).exists()
    ]
    assert broken == []


def test_every_program_is_in_the_reference():
    project = (ROOT / 'pyproject.toml').read_text()
    programs = re.findall(r'^(camphorlink-[a-z]+) = ', project, re.MULTILINE)
    reference = (ROOT / 'docs' / 'CLI.md').read_text()
    assert len(programs) >= 4
    assert [name for name in programs if f'## {name}\n' not in reference] == []
