"""Encodes and decodes messages as msgpack."""

import typing

import attrs
import msgspec

from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import messages

MESSAGE_CLASSES = {
    cls.__name__: cls for cls in typing.get_args(messages.Message)
}


@attrs.frozen
class Envelope:
    """The outer structure of an encoded message.

    Attributes:
      kind: Name of the message class.
      body: The encoded message.
    """

    kind: str
    body: msgspec.Raw


ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
DECODERS = {
    kind: msgspec.msgpack.Decoder(cls) for kind, cls in MESSAGE_CLASSES.items()
}
ENCODER = msgspec.msgpack.Encoder()


def encode(message: messages.Message) -> bytes:
    """Returns the encoded envelope of `message`.

    Raises:
      InvalidInput: It is longer than MAX_MESSAGE_BYTES.
    """
    body = msgspec.Raw(ENCODER.encode(message))
    data = ENCODER.encode(Envelope(type(message).__name__, body))
    if len(data) > limits.MAX_MESSAGE_BYTES:
        raise exceptions.InvalidInput(
            f"message of {len(data)} bytes is over the limit",
            f"send at most {limits.MAX_MESSAGE_BYTES} bytes",
        )
    return data


def decode(data: bytes) -> messages.Message:
    """Returns the message in an encoded envelope.

    Raises:
      InvalidInput: The data is too long, malformed or of an unknown kind.
    """
    if len(data) > limits.MAX_MESSAGE_BYTES:
        raise exceptions.InvalidInput(
            f"message of {len(data)} bytes is over the limit",
            f"send at most {limits.MAX_MESSAGE_BYTES} bytes",
        )
    try:
        envelope = ENVELOPE_DECODER.decode(data)
        decoder = DECODERS.get(envelope.kind)
        if decoder is None:
            raise exceptions.InvalidInput(
                f"message kind {envelope.kind[:64]!r} is unknown",
                "run the same release on both daemons",
            )
        return decoder.decode(envelope.body)
    except (msgspec.DecodeError, ValueError) as error:
        raise exceptions.InvalidInput(
            f"message can't be decoded: {error}",
            "run the same release on both daemons; check what else uses the"
            " peer port",
        ) from error
