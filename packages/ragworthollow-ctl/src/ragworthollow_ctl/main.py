"""Command line of `ragworthctl`."""

from cyclopts import App

from ragworthollow import __version__
from ragworthollow_ctl.commands.apply import apply
from ragworthollow_ctl.commands.check import check
from ragworthollow_ctl.commands.diff import diff
from ragworthollow_ctl.commands.hash_key import hash_key
from ragworthollow_ctl.commands.history import history
from ragworthollow_ctl.commands.instances import instances
from ragworthollow_ctl.commands.losses import losses
from ragworthollow_ctl.commands.pull import pull
from ragworthollow_ctl.commands.quarantine import quarantine
from ragworthollow_ctl.commands.release import release
from ragworthollow_ctl.commands.show import show
from ragworthollow_ctl.commands.status import status

app = App(
    name='ragworthctl',
    help='Check, show and change the configuration of ragworthollow.'
    ' The operator key is read from RAGWORTHOLLOW_OPERATOR_KEY; entries may'
    ' be listed in RAGWORTHOLLOW_ENTRIES, separated by spaces.',
    version=__version__,
)
app.command(check)
app.command(show)
app.command(diff)
app.command(apply)
app.command(pull)
app.command(history)
app.command(status)
app.command(hash_key)
app.command(losses)
app.command(instances)
app.command(quarantine)
app.command(release)


def main() -> None:
    """Run the command-line application."""
    app()
