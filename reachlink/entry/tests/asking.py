"""Calls and generations that a caller asks a running fleet for."""

from reachlink.testing import Fleet

WORKSPACE = "borettslag-nord"


async def ask(fleet: Fleet, entry: str, module: str, prompt: str = "hello") -> tuple[int, bool]:
    """Ask one instance for a call that must not be repeated, or for a generation.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    entry : str
        Name of the instance.
    module : str
        ``"service"`` for a call, ``"engine"`` for a generation.
    prompt : str
        Content of the message that a generation answers.

    Returns
    -------
    tuple of int and bool
        The status that the caller is told, and whether it is told when to come back.
    """
    address = fleet.plan(entry).address
    headers = fleet.workspace_headers(WORKSPACE)
    url = f"http://{address}/readings/submit"
    body: dict[str, object] = {"kwh": 1}
    if module == "engine":
        url = f"http://{address}/v1/chat/completions"
        body = {
            "model": "explain",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 2,
        }
    async with fleet.session.post(url, json=body, headers=headers) as response:
        await response.read()
        return response.status, "Retry-After" in response.headers


def names(fleet: Fleet, module: str) -> list[str]:
    """Return the replicas of a kind."""
    return [plan.name for plan in fleet.layout.upstreams if plan.module == module]
