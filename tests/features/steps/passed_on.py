"""Steps for what is passed on to upstreams, and for the start of a process."""

import os
import subprocess
import sys
import tempfile
import zlib
from pathlib import Path

from behave import then, when

_RUN_DAEMON = Path(__file__).resolve().parents[3] / 'deploy' / 'run_daemon.py'
_BODY = zlib.compress(b'body of the request')
_OK = 200
_EXIT_CODE = 7
# Replaces a module that the gateway imports.
_MODULE = f"""
import os, signal
os.kill(os.getpid(), signal.SIGHUP)
os._exit({_EXIT_CODE})
"""


@when('a caller posts a body with Content-Encoding {encoding:S}')
def post_encoded(context, encoding):
    stage = context.gateway_stage
    headers = {
        'Content-Encoding': encoding,
        'Content-Length': str(len(_BODY)),
    }
    context.response = stage.run(
        stage.send('/safe/answer', headers=headers, body=_BODY)
    )


def _get_only_run(context):
    assert context.response.status == _OK, context.response
    (run,) = [
        run
        for upstream in context.gateway_stage.upstreams.values()
        for run in upstream.runs
    ]
    return run


@then(
    'an upstream has received the same body and Content-Encoding {encoding:S}'
)
def check_encoded(context, encoding):
    run = _get_only_run(context)
    assert run.body == _BODY, run
    assert run.headers['content-encoding'] == encoding, run


@then('an upstream has received the target {target:S}')
def check_target(context, target):
    run = _get_only_run(context)
    assert run.path == target, run.path


@when('a process gets SIGHUP while it loads its modules')
def start_and_signal(context):
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / 'result.py').write_text(_MODULE)
        context.exit_code = subprocess.run(
            [sys.executable, str(_RUN_DAEMON)],
            env={**os.environ, 'PYTHONPATH': folder},
            check=False,
        ).returncode


@then('it goes on')
def check_exit_code(context):
    assert context.exit_code == _EXIT_CODE, context.exit_code
