"""Serve the routes that both roles have in common."""

from ragworthollow_daemon.web.application import make_application, run_site
from ragworthollow_daemon.web.responses import respond

__all__ = ('make_application', 'respond', 'run_site')
