"""Tests of the parts by which prompts are recognized that share some of their text."""

import json

from reachlink.entry._chat_models import CHAT_PATH, TEXT_PATH, parse_body
from reachlink.entry._prompt_parts import prompt_parts
from reachlink.upstreams import digest_prompt


def parts_of_chat(*texts: str) -> set[str]:
    messages = [{"role": "user", "content": text} for text in texts]
    raw = json.dumps({"model": "m", "messages": messages}).encode()
    body = parse_body(raw, CHAT_PATH)
    return set(prompt_parts(body, digest_prompt(body.prompt_text()).blocks))


def parts_of_text(prompt: str) -> set[str]:
    raw = json.dumps({"model": "m", "prompt": prompt}).encode()
    body = parse_body(raw, TEXT_PATH)
    return set(prompt_parts(body, digest_prompt(body.prompt_text()).blocks))


def test_chats_share_a_message_at_different_places():
    assert parts_of_chat("a", "shared", "b") & parts_of_chat("shared", "c") == {"user: shared"}


def test_prompts_share_their_beginning():
    shared = "x" * 300
    common = parts_of_text(shared + "y" * 300) & parts_of_text(shared + "z" * 300)
    assert len(common) == 3
    assert not common & parts_of_text("w" * 300)


def test_short_prompt_has_no_part_in_common_with_others():
    assert parts_of_text("short") == set()
