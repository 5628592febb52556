"""Serve the routes that both roles have in common."""

from ragworthollow.transport.responses import respond
from ragworthollow_daemon.web.application import make_application, run_site

__all__ = ('make_application', 'respond', 'run_site')
