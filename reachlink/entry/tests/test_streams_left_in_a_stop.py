"""A caller who leaves a stopping instance has the grace to go on elsewhere, like any other."""

import asyncio

import pytest

from reachlink.entry._digests import Digest
from reachlink.entry.tests.own_instance import OwnInstance, Replica, chat_body, wait_until
from reachlink.entry.tests.test_end_of_planned_stop import CHAT, serve_one_token

PEER = Digest("e2", "a", 1, True, [], {})


def ends(instance: OwnInstance) -> list[str]:
    """Return what was done at the engine about generations that nobody reads."""
    return [name for name, _ in instance.log.events if name.startswith("generation_")]


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
def test_a_stopping_instance_does_not_cancel_what_its_caller_can_go_on_with(stream):
    async def story():
        async with OwnInstance(Replica(serve_one_token)) as instance:
            instance.node.take_digest(PEER)
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=stream))
            await wait_until(lambda: instance.node.carried._held != {})
            draining = asyncio.create_task(instance.daemon.drain())
            await wait_until(lambda: instance.node.draining)
            caller.close()
            await wait_until(lambda: not instance.node.running_requests)
            await wait_until(lambda: not instance.node.tasks)
            draining.cancel()
            return ends(instance), list(instance.node.carried._held)

    done, carried = asyncio.run(story())
    if stream:
        assert (done, carried) == ([], ["g1"])
    else:
        assert done and carried == []
