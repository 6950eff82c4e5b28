"""Accepted settings reach instances behind small links, however large the table.

What users saw: of three changes that each added 1,400 routes, the first two were in
force everywhere 0.5 and 1.9 s after they were acknowledged. The third, which made
4,240 routes, was in force nowhere until the end of the day; requests were decided by
a table two numbers old, and nearly all requests were late meanwhile.

Order of events: the table was accepted, every control instance had it; instances
asked for news, and waited 1.2 s at most for an answer that took 1.7 s over a link of
5 Mbit/s. They gave it up underway, asked the next control instance and got all of it
again, while the rest of the first answer still came.

Cause: a transfer bounded by a fixed time, started from nothing when that is over.

Evidence: 65 instances received 550 to 610 KB a second, the whole of their links, from
the change to the end of the day; six control instances sent by turns; processors were
idle (1 to 11 in 100); no instance had a number after 14 in its log.
"""

import asyncio

from reachlink.membership._transfers import PIECE_BYTES
from reachlink.routing import Workspace
from reachlink.testing import run_virtually
from reachlink.testing._settings_world import MBIT, Deployment, Names, published, routes

# How long an accepted table may take to every instance, in seconds.
IN_FORCE_S = 2.5


def test_each_of_a_row_of_growing_tables_is_in_force_in_time():
    async def play():
        names = Names()
        table_routes = routes(40, names)
        async with Deployment(entries=5, rate=5 * MBIT) as deployment:
            deployment.publish(published(1, table_routes))
            await asyncio.sleep(10.0)
            for number in (10, 20, 30):
                table_routes += routes(1400, names)
                deployment.publish(published(number, table_routes))
                await asyncio.sleep(0.2)
                deployment.publish(published(number + 1, table_routes))
                await asyncio.sleep(IN_FORCE_S)
                held = [entry.table.number for entry in deployment.entries]
                assert held == [number + 1] * len(held)
                await asyncio.sleep(20.0)

    run_virtually(play())


def test_a_table_that_takes_many_times_the_wait_for_an_answer_arrives():
    async def play():
        names = Names()
        # Keys without a pattern: nothing makes them smaller.
        workspaces = tuple(
            Workspace(names.name(), tuple(names.name(64) for _ in range(10))) for _ in range(2600)
        )
        table = published(1, routes(40, names), workspaces)
        async with Deployment(entries=1, rate=1 * MBIT) as deployment:
            entry = deployment.entries[0]
            deployment.publish(table)
            await asyncio.sleep(1.3 * len(table.document) / MBIT)
            assert entry.table == table

    run_virtually(play())


def test_a_row_of_questions_that_come_to_nothing_is_logged_at_its_ends():
    async def play():
        async with Deployment(entries=1, rate=5 * MBIT) as deployment:
            entry = deployment.entries[0]
            asked = entry.control.addresses[0]
            for control in deployment.controls.values():
                control.silent = True
            await asyncio.sleep(10.0)
            for control in deployment.controls.values():
                control.silent = False
            await asyncio.sleep(3.0)
            (first, said), (last, told) = entry.log.events
            assert (first, said["control"]) == ("settings_unanswered", asked)
            assert last == "settings_answered"
            assert told["questions"] >= 5 and told["silent_s"] > 7.0

    run_virtually(play())


def test_a_transfer_goes_on_at_another_control_instance_where_one_falls_silent():
    async def play():
        names = Names()
        table = published(1, routes(10_000, names))
        async with Deployment(entries=1, rate=1 * MBIT) as deployment:
            entry = deployment.entries[0]
            deployment.publish(table)
            await asyncio.sleep(1.5)
            carried = entry.link.carried
            assert carried > 5 * PIECE_BYTES and entry.table is None
            deployment.controls[entry.control.addresses[0]].silent = True
            await asyncio.sleep(6.0)
            assert entry.table == table
            # Each byte came once: all of it takes less than what began anew would.
            [size] = [v["bytes"] for e, v in entry.log.events if e == "settings_in_force"]
            assert entry.link.carried < size + carried

    run_virtually(play())


def test_a_transfer_ends_though_tables_change_faster_than_it_takes():
    async def play():
        names = Names()
        table_routes = routes(10_000, names)
        async with Deployment(entries=1, rate=1 * MBIT) as deployment:
            entry = deployment.entries[0]
            for number in range(1, 41):
                deployment.publish(published(number, table_routes[number:]))
                await asyncio.sleep(0.25)
            assert entry.table.number >= 38

    run_virtually(play())


def test_a_control_instance_that_is_behind_is_passed_over_and_not_pressed():
    async def play():
        names = Names()
        first, later = published(1, routes(40, names)), published(2, routes(10_000, names))
        async with Deployment(entries=1, rate=1 * MBIT) as deployment:
            entry = deployment.entries[0]
            deployment.publish(first)
            await asyncio.sleep(2.0)
            ahead = next(iter(deployment.controls))
            deployment.controls[ahead].publish(later)
            await asyncio.sleep(0.4)
            questions = entry.control.questions
            deployment.controls[ahead].silent = True
            await asyncio.sleep(4.0)
            assert entry.table == first
            assert entry.control.questions - questions < 20
            deployment.controls[ahead].silent = False
            await asyncio.sleep(8.0)
            assert entry.table == later

    run_virtually(play())


def test_control_instances_that_were_behind_serve_what_another_began():
    async def play():
        names = Names()
        first, later = published(1, routes(40, names)), published(2, routes(10_000, names))
        async with Deployment(entries=1, rate=1 * MBIT) as deployment:
            entry = deployment.entries[0]
            deployment.publish(first)
            await asyncio.sleep(2.0)
            ahead, *behind = deployment.controls
            deployment.controls[ahead].publish(later)
            await asyncio.sleep(0.4)
            deployment.controls[ahead].silent = True
            await asyncio.sleep(4.0)
            for address in behind:
                deployment.controls[address].publish(later)
            await asyncio.sleep(4.0)
            assert entry.table == later

    run_virtually(play())


def test_what_nobody_has_any_more_is_not_asked_for_for_ever():
    async def play():
        names = Names()
        few, many = routes(2, names), routes(10_000, names)
        async with Deployment(entries=1, rate=1 * MBIT) as deployment:
            entry = deployment.entries[0]
            deployment.publish(published(1, few))
            await asyncio.sleep(2.0)
            ahead, *others = deployment.controls
            deployment.controls[ahead].publish(published(2, many))
            await asyncio.sleep(0.4)
            assert entry.follower.fetching
            deployment.controls[ahead].silent = True
            for address in others:
                deployment.controls[address].publish(published(2, many))
                deployment.controls[address].publish(published(3, few[:1]))
            await asyncio.sleep(5.0)
            assert entry.table.number == 3 and not entry.follower.fetching
            questions = entry.control.questions
            await asyncio.sleep(7.0)
            # Each waits 0.7 s for news.
            assert entry.control.questions - questions <= 11

    run_virtually(play())
