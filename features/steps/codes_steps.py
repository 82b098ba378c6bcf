"""Steps of codes.feature."""

from pathlib import Path

from behave import given, then

from cumindrift.code import ResultCode
from cumindrift.tool.local import code_table

PAGE = Path('docs/RESULT-CODES.md')


@given('the page of result codes')
def step_page(context):
    text = PAGE.read_text('utf-8')
    context.page_lines = [line for line in text.splitlines() if line[:1] == '|']


@then('its table lists the codes of the program')
def step_same(context):
    assert context.page_lines == code_table().splitlines()


@then('every result code has a meaning and a known first digit')
def step_numbered(context):
    for code in ResultCode:
        assert 1 <= code // 100 <= 7, code
        assert code.meaning.endswith('.'), code
