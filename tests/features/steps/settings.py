"""Steps of the settings of a daemon."""

import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml
from behave import then, when

_VALID_SETTINGS = {
    'role': 'entry',
    'instance': 'entry-0',
    'failure_domain': 'hall-a',
    'listen': {'host': '127.0.0.1', 'port': 11999},
    'platform': {
        'kv_url': 'http://127.0.0.1:1',
        'instances_url': 'http://127.0.0.1:1/instances',
    },
    'cluster_key': 'a-long-cluster-key-of-a-test',
}
_INVALID_FIELDS = {
    'an unknown field': {'dealine_ms': 5},
    'a wrong unit': {'lease_ttl_ms': '5 s'},
    'no address': {'listen': None},
    'a sidecar without upstream': {'role': 'sidecar'},
    'a platform without a scheme': {
        'platform': {**_VALID_SETTINGS['platform'], 'kv_url': '127.0.0.1:1'},
    },
    'a short cluster key': {'cluster_key': 'short'},
    'a very short lease': {'lease_ttl_ms': 10},
    'an impossible port': {'listen': {'host': '127.0.0.1', 'port': 99999}},
}


@when('ragworthd is started with {what}')
def start_daemon(context, what):
    with tempfile.TemporaryDirectory() as folder, socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        path = Path(folder) / 'settings.yaml'
        if what == 'text that is not YAML':
            path.write_text('role: [')
        elif what == 'a port in use':
            host, port = listener.getsockname()
            listen = {'host': host, 'port': port}
            path.write_text(
                yaml.safe_dump({**_VALID_SETTINGS, 'listen': listen})
            )
        elif what != 'a file that does not exist':
            path.write_text(
                yaml.safe_dump({**_VALID_SETTINGS, **_INVALID_FIELDS[what]})
            )
        daemon = Path(sys.executable).parent / 'ragworthd'
        context.completed = subprocess.run(
            [str(daemon), '--settings', str(path)],
            capture_output=True,
            text=True,
            check=False,
            timeout=30,
        )


@then('it ends with exit code 2 and one line with {check_id} and {words}')
def check_exit(context, check_id, words):
    completed = context.completed
    assert completed.returncode == 2, completed
    lines = completed.stderr.strip().splitlines()
    assert len(lines) == 1, lines
    assert check_id in lines[0] and words in lines[0], lines
    assert 'HINT' in lines[0], lines
