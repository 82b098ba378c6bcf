"""Steps of the command-line tool feature."""

import json
import re

from behave import given, then, when

from cumindrift.metric import REQUEST_SECONDS
from features.builders.tool import DOWN, ToolBench


@given('the tool and an API of which one balancer is down')
def step_tool(context):
    context.tool = ToolBench()
    context.add_cleanup(context.tool.api.stop)
    REQUEST_SECONDS.labels('todistajat', 'kaynti').observe(0.004)


@given('the tool and an API of which every balancer is down')
def step_all_down(context):
    step_tool(context)
    context.tool.balancers = (DOWN, DOWN)


@given('the tool loses {count:d} responses')
def step_loses(context, count):
    context.tool.responses_lost_count = count


@when('the tool runs: {line}')
def step_run(context, line):
    context.line = line
    context.printed = context.tool.run(line)


@when('the tool runs with JSON output: {line}')
def step_json_output(context, line):
    context.printed = context.tool.run(line, is_json=True)


@when('the tool runs with a wrong token: {line}')
def step_wrong(context, line):
    wrong = {'token': 'supervisors.00'}
    context.printed = context.tool.run(line, **wrong)


@when('the tool repeats that write')
def step_repeat(context):
    text = context.printed.err
    write_id, version = re.search(
        r'--write_id=(\w+) --version=(\d+)',
        text,
    ).groups()
    context.printed = context.tool.run(
        context.line,
        write_id=write_id,
        version=int(version),
    )


@then('the tool exits with {exit_code:d} and prints {text}')
def step_exit(context, exit_code, text):
    printed = context.printed
    assert printed.exit_code == exit_code, printed
    assert text in (printed.out if exit_code < 2 else printed.err), printed
    assert len(printed.err.splitlines()) <= 1, printed


@then('the tool prints JSON whose {key} is {text}')
def step_json(context, key, text):
    bare = json.loads(context.printed.out)
    assert str(bare[key]) == text, bare


@then('the tool sent {count:d} writes with one id')
def step_one_id(context, count):
    sent = [
        call.headers['Idempotency-Key']
        for call in context.tool.calls
        if call.method == 'PUT'
    ]
    assert (len(sent), len(set(sent))) == (count, 1), sent
