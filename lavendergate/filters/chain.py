"""Chains of filters, whatever request they handle."""

import abc
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

RequestT = TypeVar('RequestT')
AnswerT = TypeVar('AnswerT')


class ChainStep(abc.ABC, Generic[RequestT, AnswerT]):
    """One step of a chain."""

    @abc.abstractmethod
    async def handle(
        self,
        request: RequestT,
        forward: Callable[[RequestT], Awaitable[AnswerT]],
    ) -> AnswerT:
        """Answer the request, or forward it to the next step."""


def compose(
    steps: Sequence[ChainStep[RequestT, AnswerT]],
) -> Callable[[RequestT], Awaitable[AnswerT]]:
    """Compose steps into one function; the first one runs first."""
    forward: Callable[[RequestT], Awaitable[AnswerT]] = _unanswered
    for step in reversed(steps):
        forward = _bind(step, forward)
    return forward


def _bind(
    step: ChainStep[RequestT, AnswerT],
    forward: Callable[[RequestT], Awaitable[AnswerT]],
) -> Callable[[RequestT], Awaitable[AnswerT]]:
    async def run(request: RequestT) -> AnswerT:  # noqa: WPS430
        return await step.handle(request, forward)

    return run


async def _unanswered(request: object) -> AnswerT:
    raise RuntimeError('the last filter must answer the request')
