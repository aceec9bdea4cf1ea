"""Mutated messages and arbitrary bytes for all decoders of outside values."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from properties.decoder_targets import TARGETS, check
from properties.fuzz_decoders import fuzz

_INPUTS = 1000
_SEED = 20261205


class DecoderTest(unittest.TestCase):
    """A decoder refuses an input, or returns a bounded value."""

    def test_samples_are_accepted(self) -> None:
        """Guards against mutations of messages that no decoder accepts."""
        for target in TARGETS:
            for sample in target.samples:
                with self.subTest(target.name):
                    check(target, sample)
                    if target.name not in {'signed announcement', 'position'}:
                        self.assertIsNotNone(target.decode(sample))

    def test_mutated_messages_raise_only_documented_errors(self) -> None:
        """Guards against one odd message that ends a process."""
        for target in TARGETS:
            with self.subTest(target.name):
                inputs = max(1, _INPUTS // target.cost)
                self.assertEqual(fuzz(target, inputs, _SEED), {})

    @given(content=st.binary(max_size=64), number=st.integers(0))
    @settings(derandomize=True, max_examples=500, deadline=None)
    def test_any_bytes_raise_only_documented_errors(
        self, content: bytes, number: int
    ) -> None:
        """Guards against input that resembles no message."""
        check(TARGETS[number % len(TARGETS)], content)

    @given(text=st.text(max_size=64), number=st.integers(0))
    @settings(derandomize=True, max_examples=500, deadline=None)
    def test_any_text_raises_only_documented_errors(
        self, text: str, number: int
    ) -> None:
        """Guards against characters that a decoder does not expect."""
        content = text.encode('utf-8', 'surrogatepass')
        check(TARGETS[number % len(TARGETS)], content)
