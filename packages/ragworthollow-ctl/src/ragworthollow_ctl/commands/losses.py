"""Tell from logs which requests were not served, and why."""

import sys

from ragworthollow_ctl.losses import LossAccount, render_account
from ragworthollow_ctl.losses.log_line import decode_line

_NOTHING_FOUND = 1


def losses() -> None:
    """
    Read the logs of gateways from standard input; show what was not served.

    Exit code 1 when no line tells of a request or of a call for pieces.
    """
    account = LossAccount()
    for text in sys.stdin:
        line = decode_line(text)
        if line is not None:
            account.take(line)
    if not account.owed and not account.calls_by_pool:
        sys.stderr.write('no line of a gateway on standard input\n')
        sys.exit(_NOTHING_FOUND)
    sys.stdout.writelines(f'{row}\n' for row in render_account(account))
