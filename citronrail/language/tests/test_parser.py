"""Tests of the command language's parser and formatter."""

import hypothesis
from hypothesis import strategies as st
import pytest

from citronrail import errors
from citronrail import language
from citronrail.language.tests import strategies
from citronrail.model import resources
from citronrail.model import specs


# The shortest representations of floats have up to 21 decimal places.
@hypothesis.example(
    language.parse('show tasks where a = 0.0002234771798430799')
)
@hypothesis.given(strategies.commands)
@hypothesis.settings(max_examples=300)
def test_formatted_command_parses_to_the_same_node(node):
    """Guards against commands that change when they are forwarded."""
    assert language.parse(language.format(node)) == node


@hypothesis.given(st.lists(strategies.commands, max_size=4))
def test_formatted_script_parses_to_the_same_nodes(nodes):
    """Guards against a ';' or '#' in a string that ends the command."""
    text = ' ; # next\n'.join(language.format(node) for node in nodes)
    assert language.parse_script(text) == tuple(nodes)


_VOCABULARY = (
    'show tasks jobs where ( ) and or not = in , ; start job service name '
    'team x class "a" 12 2GB 10m data centre order by limit count if version '
    'drain change quota cores memory ~ 1e999 2026-99-99T00:00:00Z'
)
_WORDS = st.sampled_from(_VOCABULARY.split())


@hypothesis.given(st.text(max_size=60) | st.lists(_WORDS).map(' '.join))
@hypothesis.settings(max_examples=300)
@hypothesis.example('show tasks where a = "\\ud800"')
@hypothesis.example('show tasks where ' + 'not ' * 9000 + 'a = 1')
@hypothesis.example('show tasks where ' + '(' * 9000)
@hypothesis.example('show tasks where ' + '(not ' * 45 + 'a = 1' + ')' * 45)
@hypothesis.example('show tasks where ' + '(a=1 or (b=2 and ' * 2000)
@hypothesis.example('cancel tasks where a ~ "(a+)+$"')
@hypothesis.example('cancel tasks where a ~ "(?P<a>"')
def test_arbitrary_text_is_parsed_or_rejected(text):
    """Guards against other exceptions and invalid error positions."""
    try:
        for node in language.parse_script(text):
            assert language.parse(language.format(node)) == node
    except errors.CommandSyntaxError as exc:
        lines = text.split('\n')
        assert 1 <= exc.line <= len(lines)
        assert 1 <= exc.column <= len(lines[exc.line - 1]) + 1


def test_job_options_are_parsed():
    """Guards the meaning of units and flags."""
    node = language.parse(
        'start job orders-0412 team harrowfield class orders tasks 40 '
        'cores 0.5 memory 1.5GB accelerators 1 run time 1.5m urgent '
        'exclusive no checkpoint data centre leicester, birmingham '
        'before 2026-12-05T04:00:00+01:00 argument "Sunday; #1" if version 7;'
    )
    assert node == language.StartJob(
        specs.JobSpec(
            'orders-0412',
            'harrowfield',
            'orders',
            40,
            resources.Resources(500, 1536, 1),
            90.0,
            specs.Priority.URGENT,
            exclusive=True,
            checkpointable=False,
            finish_before=1_796_439_600.0,
            data_centres=('leicester', 'birmingham'),
            argument='Sunday; #1',
        ),
        expected_version=7,
    )


@pytest.mark.parametrize(
    ('text', 'node'),
    [
        (
            'drain data centre leon',
            language.Drain(language.Place.DATA_CENTRE, 'leon'),
        ),
        (
            'drain data_centre leon',
            language.Drain(language.Place.DATA_CENTRE, 'leon'),
        ),
        ('show data centres', language.Show(language.TableName.DATA_CENTRES)),
        (
            'show backend servers',
            language.Show(language.TableName.BACKEND_SERVERS),
        ),
        (
            'show tasks where data centre = leon and a=1 or b=2',
            language.parse(
                'show tasks where (data_centre = leon and a = 1) or b = 2'
            ),
        ),
    ],
)
def test_alternative_spellings_parse_to_the_same_node(text, node):
    """Guards both spellings and the precedence of 'and' over 'or'."""
    assert language.parse(text) == node


@pytest.mark.parametrize(
    ('text', 'place', 'words'),
    [
        ('show tusks', (1, 6), ['"tasks"', '"jobs"', 'tusks']),
        ('show tasks\nwhere cores >', (2, 14), ['a number', 'the end']),
        ('start job x team y class z run time 10', (1, 37), ['90s or 10m']),
        ('start job x team y team z', (1, 20), ['twice']),
        ('start job x cores 1', (1, 11), ['"team" is missing']),
        ('show tasks where a ~ "("', (1, 20), ['regular expression']),
        ('cancel tasks where a ~ "(a*)*b"', (1, 22), ['repeat a group']),
        ('cancel tasks', (1, 13), ['"where"']),
        ('stop job a; stop job b', (1, 1), ['one command, got 2']),
        ('start job a team b class c memory 0.1MB', (1, 35), ['whole']),
        (
            'start job a team b class c before 2026-02-30T00:00:00Z',
            (1, 35),
            [],
        ),
    ],
)
def test_syntax_error_shows_position_and_expected_tokens(text, place, words):
    """Guards against error messages that don't help the operator."""
    with pytest.raises(errors.CommandSyntaxError) as caught:
        language.parse(text)
    exc = caught.value
    assert (exc.line, exc.column) == place
    line, caret = exc.message.split('\n')[1:3]
    assert line == '  ' + text.split('\n')[place[0] - 1]
    assert caret == ' ' * (place[1] + 1) + '^'
    for word in words:
        assert word in exc.message
