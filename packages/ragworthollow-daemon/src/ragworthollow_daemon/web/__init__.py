"""Serve the routes common to both roles."""

from ragworthollow.transport.responses import respond
from ragworthollow_daemon.web.application import make_application
from ragworthollow_daemon.web.listener import Listener

__all__ = ('Listener', 'make_application', 'respond')
