"""Guards the rules for Prometheus."""

import json
import pathlib
import re

import pytest

from citronrail import observability
from citronrail.observability import pages

DOCS = pathlib.Path(__file__).parents[1]
GROUPS = json.loads((DOCS / 'alerts.yml').read_text(encoding='utf-8'))
RULES = [rule for group in GROUPS['groups'] for rule in group['rules']]
RECORDED = {rule['record'] for rule in RULES if 'record' in rule}
# Metrics that subsystems still under way will define.
EXPECTED_METRICS = frozenset()
# From the scrape configuration and the exposition format.
TARGET_LABELS = {'data_centre', 'instance', 'job', 'le'}
FUNCTIONS = {
    *('avg', 'histogram_quantile', 'increase', 'max', 'min', 'rate', 'sum'),
    *('and', 'or', 'unless', 'by', 'without', 'offset'),
}
DURATION = re.compile(r'\d+(ms|s|m|h|d)')


def _name(rule):
    return rule.get('alert') or rule['record']


def test_groups_are_well_formed():
    """Guards against a file that Prometheus does not load."""
    assert set(GROUPS) == {'groups'}
    names = [group['name'] for group in GROUPS['groups']]
    assert len(set(names)) == len(names)
    for group in GROUPS['groups']:
        assert set(group) <= {'name', 'interval', 'rules'}
        assert DURATION.fullmatch(group.get('interval', '1m'))
    assert len({_name(rule) for rule in RULES}) == len(RULES)


@pytest.mark.parametrize('rule', RULES, ids=_name)
def test_rule_is_well_formed(rule):
    """Guards the fields of each rule and the links to the page."""
    if 'record' in rule:
        assert set(rule) == {'record', 'expr'}
        assert re.fullmatch(r'[a-z][a-z0-9_]*(:[a-z0-9_]+)+', rule['record'])
        return
    assert set(rule) <= {'alert', 'expr', 'for', 'labels', 'annotations'}
    assert re.fullmatch(r'Citronrail[A-Za-z]+', rule['alert'])
    assert DURATION.fullmatch(rule.get('for', '1m'))
    assert rule['labels']['severity'] in ('page', 'ticket')
    assert rule['annotations']['summary']
    page = (DOCS / 'OPERATING.md').read_text(encoding='utf-8')
    assert f'### {rule["alert"]}\n' in page
    anchor = rule['annotations']['runbook'].partition('#')[2]
    assert anchor == rule['alert'].lower()


@pytest.mark.parametrize('rule', RULES, ids=_name)
def test_expression_names_what_exists(rule):
    """Guards against rules over metrics or labels that nobody sets."""
    text = rule['expr']
    assert _balanced(text)
    bare = re.sub(r'"[^"]*"', '', text)
    bare = re.sub(r'\[[0-9a-z]+\]', '', bare)
    bare = re.sub(r'offset \d+[smhd]', '', bare)
    known = observability.sample_names() | RECORDED | EXPECTED_METRICS
    labels = {m.name: set(m.labels) for m in observability.metrics()}
    every_label = set().union(*labels.values()) | TARGET_LABELS
    for word in re.findall(r'[A-Za-z_:][A-Za-z0-9_:]*', bare):
        assert word in known | FUNCTIONS | every_label, word
    for name, selector in re.findall(r'([a-z_:0-9]+)\{([^}]*)\}', text):
        base = re.sub(r'_(bucket|sum|count)$', '', name)
        for label in re.findall(r'(\w+)=', selector):
            if name not in RECORDED:
                assert label in labels.get(name, labels.get(base, set()))


def _balanced(text):
    closing = {')': '(', ']': '[', '}': '{'}
    open_ = []
    for char in re.sub(r'"[^"]*"', '', text):
        if char in closing.values():
            open_.append(char)
        elif char in closing and (not open_ or open_.pop() != closing[char]):
            return False
    return not open_ and text.count('"') % 2 == 0


def test_recorded_names_are_defined_before_they_are_used():
    """Guards against a rule that reads a value recorded after it."""
    seen = set()
    for rule in RULES:
        used = set(re.findall(r'citronrail:[a-z0-9_:]+', rule['expr']))
        assert used <= seen
        if 'record' in rule:
            seen.add(rule['record'])


@pytest.mark.parametrize('name', [pages.EVENTS_PAGE, pages.METRICS_PAGE])
def test_generated_page_equals_the_code(name):
    """Guards against an event or metric that the pages forget.

    Run ``python -m citronrail.observability.pages`` to refresh them.
    """
    assert (DOCS / name).read_text(encoding='utf-8') == pages.pages()[name]


def test_event_numbers_are_unique_and_texts_have_fields():
    """Guards against two events under one number."""
    events = observability.catalogued_events()
    numbers = [event.kind.number for event in events]
    assert len(set(numbers)) == len(numbers)
    for event in events:
        fields = re.findall(r'\{([^}]*)\}', event.kind.text)
        assert all(field.isidentifier() for field in fields)
