"""Chains of request filters, generic in the types of request and answer."""

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
    forward: Callable[[RequestT], Awaitable[AnswerT]] = _fail_unanswered
    for step in reversed(steps):
        forward = _bind_step(step, forward)
    return forward


def _bind_step(
    step: ChainStep[RequestT, AnswerT],
    forward: Callable[[RequestT], Awaitable[AnswerT]],
) -> Callable[[RequestT], Awaitable[AnswerT]]:
    async def run(request: RequestT) -> AnswerT:  # noqa: WPS430
        return await step.handle(request, forward)

    return run


async def _fail_unanswered(request: object) -> AnswerT:
    raise RuntimeError('no filter of the chain answered the request')
