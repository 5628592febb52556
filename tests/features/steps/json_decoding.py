"""Steps for the decoders of what other processes send."""

import zlib

import msgspec
from behave import then, when
from result import Err

from ragworthollow.platform.configuration_wire import decode_configuration
from ragworthollow.platform.stage_wire import decode_is_busy, decode_run
from ragworthollow.platform.store_wire import RangePage
from ragworthollow.replica.update_codec import decode_update
from ragworthollow.transport.piece_messages import decode_results
from ragworthollow.utils import decode_json

_LEVELS = 5000
_NESTED = b'[' * _LEVELS + b']' * _LEVELS
_TEXTS = {
    # The decoder recurses into values of unknown fields too.
    'deeply nested values': b'{"unknown":' + _NESTED + b'}',
    'a value not Base64': b'{"items":[{"key":"a","value":"?"}]}',
}
_DECODERS = {
    'a run of pieces': decode_run,
    'a report': decode_is_busy,
    'results of a peer': decode_results,
    'an update of a peer': lambda text: decode_update(zlib.compress(text)),
    'a configuration': decode_configuration,
    'a page of the store': lambda text: decode_json(text, RangePage),
}


@when('the decoder of {message} is given {text}')
def decode(context, message, text):
    try:
        context.decoded = _DECODERS[message](_TEXTS[text])
    except msgspec.DecodeError as error:
        context.decoded = Err(str(error))


@then('it reports the text as unreadable')
def check_unreadable(context):
    assert isinstance(context.decoded, Err), context.decoded
