"""A zone taken out of service under calls, in a fleet of real processes."""

import pytest

SERVICE = "readings"


@pytest.fixture
def zones(run, fleet):
    yield {plan.name: plan.availability_zone for plan in fleet.layout.upstreams}
    for zone in fleet.scenario.availability_zones:
        run(fleet.order_zone("entry-1", zone, out_of_service=False))


async def called(fleet, entry: str, count: int = 6) -> list[tuple[int, str]]:
    """Return status and answering replica of some calls through an entry instance."""
    url = f"http://{fleet.plan(entry).address}/{SERVICE}/status"
    headers = fleet.workspace_headers("borettslag-nord")
    answers = []
    for _ in range(count):
        async with fleet.session.post(url, json={}, headers=headers) as response:
            answers.append((response.status, (await response.json()).get("by", "")))
    return answers


async def in_force(fleet, revision: int) -> bool:
    for plan in fleet.layout.entries:
        found = await fleet.get(plan.name, "/v1/zones", headers=fleet.operator_headers())
        if found["revision"] < revision:
            return False
    return True


def test_calls_go_to_other_zones_until_it_is_taken_back(run, fleet, zones):
    async def used() -> set[str]:
        answers = await called(fleet, "entry-1")
        assert [status for status, _ in answers] == [200] * len(answers)
        return {zones[by] for _, by in answers}

    async def work():
        # A replica that an earlier test has told to leave counts as leaving for a while,
        # so that its zone may not be in use: one is taken that is.
        zone = min(await used())
        order = await fleet.order_zone("entry-4", zone, out_of_service=True, reason="works")
        assert order["status"] == "accepted"
        await fleet.wait_for(lambda: in_force(fleet, order["revision"]), 30.0, "the order")
        assert zone not in await used()
        again = await fleet.order_zone("entry-2", zone, out_of_service=True)
        assert (again["status"], again["revision"]) == ("held", order["revision"])
        back = await fleet.order_zone("entry-3", zone, out_of_service=False)
        await fleet.wait_for(lambda: in_force(fleet, back["revision"]), 30.0, "the order")

        async def used_again() -> bool:
            return zone in await used()

        await fleet.wait_for(used_again, 30.0, f"calls in {zone}")

    run(work())
