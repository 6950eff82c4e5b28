"""Orders to the engine stand-in: load or unload a model version, change role."""

import asyncio
from dataclasses import dataclass

import aiohttp

from reachlink.testing._config import EngineConfig
from reachlink.testing._wire import OrderBody

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"
_CHUNK = 1 << 20


@dataclass(slots=True)
class OrderState:
    """An order with what came of it."""

    order: OrderBody
    state: str
    reason: str = ""

    def as_dict(self) -> dict[str, object]:
        """Return the state as the protocol shows it."""
        return {
            "order_id": self.order.order_id,
            "fence": self.order.fence,
            "issuer": self.order.issuer,
            "action": self.order.action,
            "target": self.order.target,
            "state": self.state,
            "reason": self.reason,
        }


class OrderDesk:
    """Takes orders one at a time and refuses stale fences if so configured.

    Parameters
    ----------
    config : EngineConfig
        Says whether fences are checked and where weights come from.
    """

    def __init__(self, config: EngineConfig) -> None:
        self._config = config
        self._loaded: list[str] = [config.model, *config.versions]
        self._orders: dict[str, OrderState] = {}
        self.fence = 0
        self.role = "both"

    def models(self) -> list[str]:
        """Return the model versions that can be served now."""
        return list(self._loaded)

    def log(self) -> list[dict[str, object]]:
        """Return every order taken or refused, oldest first."""
        return [state.as_dict() for state in self._orders.values()]

    def accept(self, order: OrderBody) -> dict[str, object]:
        """Take an order, or return the first answer to a repeated one."""
        if order.order_id in self._orders:
            return self._orders[order.order_id].as_dict()
        state = OrderState(order, "running")
        self._orders[order.order_id] = state
        if self._config.checks_fencing and order.fence < self.fence:
            state.state = "refused"
            state.reason = f"fence {order.fence} is behind {self.fence}"
            return state.as_dict()
        self.fence = max(self.fence, order.fence)
        self._start(state)
        return state.as_dict()

    def _start(self, state: OrderState) -> None:
        order = state.order
        if order.action == LOAD:
            asyncio.get_running_loop().create_task(self._load(state))
            return
        if order.action == UNLOAD and order.target in self._loaded:
            self._loaded.remove(order.target)
        if order.action == ROLE:
            self.role = order.target
        state.state = "done"

    async def _load(self, state: OrderState) -> None:
        target = state.order.target
        url = f"{self._config.weights_url}/weights/{target}"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                response.raise_for_status()
                async for _ in response.content.iter_chunked(_CHUNK):
                    pass
        except (aiohttp.ClientError, OSError) as error:
            state.state = "failed"
            state.reason = str(error)
            return
        if target not in self._loaded:
            self._loaded.append(target)
        state.state = "done"
