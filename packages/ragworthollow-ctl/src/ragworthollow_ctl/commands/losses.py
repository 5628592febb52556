"""Report from logs which requests were not served, and why."""

import sys

from ragworthollow_ctl.losses import Grouping, LossAccount, render_account
from ragworthollow_ctl.losses.log_line import decode_line

_NOTHING_FOUND = 1


def losses(*, by: Grouping | None = None) -> None:
    """
    Read gateway logs from standard input; show the requests not served.

    Exit code 1 if no line reports the end of a request or a call for pieces.

    Parameters
    ----------
    by : Grouping, optional
        Also compare gateways, organisations or lengths of prompts.
    """
    account = LossAccount(grouping=by)
    for text in sys.stdin:
        line = decode_line(text)
        if line is not None:
            account.add(line)
    if not account.eligible and not account.calls_by_pool:
        sys.stderr.write('no line of a gateway on standard input\n')
        sys.exit(_NOTHING_FOUND)
    sys.stdout.writelines(f'{row}\n' for row in render_account(account))
