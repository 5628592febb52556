"""Define the messages between processes and their HTTP transport."""

from ragworthollow.transport.load_report import LoadReport
from ragworthollow.transport.once_key import OnceKey
from ragworthollow.transport.stage_answer import StageAnswer
from ragworthollow.transport.stage_call import StageCall
from ragworthollow.transport.stream_line import StreamLine

__all__ = ('LoadReport', 'OnceKey', 'StageAnswer', 'StageCall', 'StreamLine')
