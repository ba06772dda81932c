"""Seeded conversations, in a few large workspaces, whose prompts grow and return."""

from heapq import heappop, heappush
from random import Random

from msgspec import Struct, field
from msgspec.structs import replace

from bench.deployments import (
    BLOCK_TEXT,
    WORKSPACE_SHARES,
    Deployment,
    list_workspaces,
)
from bench.fakes import BLOCK_S
from masticdrum.model.tables import Urgency

SHARED_PREFIX_BLOCKS = (3, 3, 2, 2, 1, 1, 1, 1, 1, 1)
FIRST_BLOCKS = (1, 2, 3, 4)
GROWTH_BLOCKS = (0, 1, 1, 2)
GAP_SIGMA = 0.9
ANSWER_TOKENS = (20, 60)
WARM_UP_S = 100.0  # left out of the measured load and figures
HISTORY_GAPS = 12.0  # median gaps by which conversations start before time zero
FIRST_RATE = 10.0  # requests a second, where the calibration starts
CALIBRATIONS = 3


class Request(Struct, frozen=True):
    """One request: its arrival time, workspace, urgency and prompt."""

    number: int
    at: float
    workspace: str
    urgency: Urgency
    prompt: str
    max_tokens: int
    new_blocks: int

    def renumber(self, number: int) -> "Request":
        """Return a copy with another number."""
        return replace(self, number=number)


class Workload(Struct):
    """Requests in order of time; ``history`` holds those before time zero."""

    requests: list[Request] = field(default_factory=list)
    history: list[Request] = field(default_factory=list)


class Conversation(Struct):
    """A conversation and the text blocks of its next prompt."""

    number: int
    workspace: int
    urgency: Urgency
    blocks: list[str]


def make_block(*parts: object) -> str:
    """Return the text of one block, unique to ``parts``."""
    text = "/".join(str(part) for part in parts) + "."
    return text.ljust(BLOCK_TEXT, "x")


def make_workload(
    deployment: Deployment, seed: int, load: float, length_s: float
) -> Workload:
    """Return requests whose unavoidable prefill fills ``load`` of all engines.

    The unavoidable prefill computes each block once. The load holds for the time after
    ``WARM_UP_S``.
    """
    rate = FIRST_RATE
    workload = Workload()
    for _ in range(CALIBRATIONS):
        workload = draw_workload(deployment, seed, rate, length_s)
        rate *= load / measure_load(deployment, workload.requests, length_s)
    return workload


def measure_load(
    deployment: Deployment, requests: list[Request], length_s: float
) -> float:
    """Return the share of all engines' capacity that unavoidable prefill takes."""
    counted = [request for request in requests if request.at >= WARM_UP_S]
    tails = sum(len(request.prompt) % BLOCK_TEXT for request in counted) / BLOCK_TEXT
    blocks = sum(request.new_blocks for request in counted) + tails
    return blocks * BLOCK_S / (length_s - WARM_UP_S) / len(deployment.upstreams)


def draw_workload(
    deployment: Deployment, seed: int, rate: float, length_s: float
) -> Workload:
    """Return requests in order of time, about ``rate`` a second for ``length_s``.

    Conversations start long before time zero, so that prompts return from the start.
    """
    rng = Random(f"{deployment.name}/{seed}")
    queue: list[tuple[float, int, Conversation]] = []
    workload = Workload()
    seen: set[str] = set()
    number = 0
    start = -HISTORY_GAPS * deployment.gap_s
    while start < length_s:
        start += rng.expovariate(rate / deployment.turns)
        number += 1
        conversation = open_conversation(rng, deployment, number)
        heappush(queue, (start, number, conversation))
    while queue:
        at, _, conversation = heappop(queue)
        if at >= length_s:
            continue
        number_in_run = len(workload.requests)
        request = make_request(rng, number_in_run, at, conversation, seen)
        target = workload.requests if at >= 0.0 else workload.history
        target.append(request)
        if rng.random() < 1.0 / deployment.turns:
            continue
        add_turn(rng, conversation)
        gap_s = deployment.gap_s * rng.lognormvariate(0.0, GAP_SIGMA)
        heappush(queue, (at + 2.0 + gap_s, conversation.number, conversation))
    return workload


def open_conversation(rng: Random, deployment: Deployment, number: int) -> Conversation:
    """Return a new conversation that begins with its workspace's shared prefix."""
    workspace = rng.choices(range(len(WORKSPACE_SHARES)), WORKSPACE_SHARES)[0]
    urgency = rng.choices(list(Urgency), deployment.urgencies)[0]
    blocks = [
        make_block("preamble", workspace, n)
        for n in range(SHARED_PREFIX_BLOCKS[workspace])
    ]
    conversation = Conversation(number, workspace, urgency, blocks)
    add_blocks(conversation, rng.choice(FIRST_BLOCKS))
    return conversation


def add_blocks(conversation: Conversation, count: int) -> None:
    """Add whole blocks to a conversation."""
    for _ in range(count):
        index = len(conversation.blocks)
        conversation.blocks.append(make_block("talk", conversation.number, index))


def add_turn(rng: Random, conversation: Conversation) -> None:
    """Add the blocks of one turn to a conversation."""
    add_blocks(conversation, rng.choice(GROWTH_BLOCKS))


def make_request(
    rng: Random, number: int, at: float, conversation: Conversation, seen: set[str]
) -> Request:
    """Return a conversation's next request; its prompt ends in a partial block."""
    tail = "?" * rng.randrange(BLOCK_TEXT // 2)
    workspace = list_workspaces()[conversation.workspace]
    new = [block for block in conversation.blocks if block not in seen]
    seen.update(new)
    return Request(
        number=number,
        at=at,
        workspace=workspace,
        urgency=conversation.urgency,
        prompt="".join(conversation.blocks) + tail,
        max_tokens=rng.randint(*ANSWER_TOKENS),
        new_blocks=len(new),
    )
