"""Deterministic answers of the engine stand-in, computed from the prompt."""

import orjson
import xxhash

DEFAULT_TOKENS = 32
ANSWER = """the steam train leaves Dunedin at nine and stops at every station until
Arthur Pass where guards check seats couple wagons and wave to the crew"""
WORDS = tuple(ANSWER.split())


def answer_token(seed: int, index: int) -> str:
    """Return one token of the answer to a prompt.

    Parameters
    ----------
    seed : int
        From `prompt_seed`.
    index : int
        Index of the token within the answer.

    Returns
    -------
    str
        A word, the index, and a trailing space.
    """
    return WORDS[(seed + index * 7) % len(WORDS)] + f"-{index} "


def prompt_seed(messages: list[dict]) -> int:
    """Return the seed that determines the answer to a conversation.

    Parameters
    ----------
    messages : list of dict
        The conversation, without the partial answer that is to be continued.

    Returns
    -------
    int
    """
    return xxhash.xxh32_intdigest(orjson.dumps(messages))
