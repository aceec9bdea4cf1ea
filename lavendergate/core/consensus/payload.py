"""Encoding of commands in log entries."""

import hashlib

import msgspec

from lavendergate.core.bounds.decoding import decode_msgpack
from lavendergate.core.commands import ChangeVoters, Command, NoOperation

_CLUSTER_ID_BYTES = 8

_encoder = msgspec.msgpack.Encoder(order='deterministic')
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_configuration_decoder = msgspec.msgpack.Decoder(ChangeVoters)


def encode_command(command: Command) -> bytes:
    """Encode a command deterministically: equal commands, equal bytes."""
    return _encoder.encode(command)


def decode_command(payload: bytes) -> Command:
    """Decode and validate a command.

    Raises
    ------
    InvalidValueError
        If this build cannot read the command.
    """
    return decode_msgpack(_decoder, payload)


def decode_configuration(payload: bytes) -> ChangeVoters:
    """Decode the command of a configuration entry.

    Raises
    ------
    InvalidValueError
        If this build cannot read the command.
    """
    return decode_msgpack(_configuration_decoder, payload)


def cluster_id_of(command: ChangeVoters) -> str:
    """Return the identity of the cluster with this first configuration."""
    return hashlib.blake2b(
        encode_command(command), digest_size=_CLUSTER_ID_BYTES
    ).hexdigest()


NO_OPERATION = encode_command(NoOperation())
