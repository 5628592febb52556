"""Serve the routes common to both roles."""

from ragworthollow.transport.responses import respond
from ragworthollow_daemon.web.application import make_application, run_site

__all__ = ('make_application', 'respond', 'run_site')
