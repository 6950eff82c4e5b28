"""Stand-ins for what surrounds reachlink, a fault-injecting proxy and a local fleet.

Nothing here is used by the daemons. Each stand-in is a process of its own:
``python -m reachlink.testing.engine --config FILE`` and so on.
"""

from reachlink.testing._batch import BatchModel, EngineParameters, Generation
from reachlink.testing._caller import Caller, ReceivedAnswer, ReceivedEvent
from reachlink.testing._config import EngineConfig, PlatformConfig, ServiceConfig, WeightsConfig
from reachlink.testing._fleet import Fleet, FleetError
from reachlink.testing._scenario import Scenario, WorkspaceScenario
from reachlink.testing._virtual_loop import VirtualTimeLoop, run_virtually

__all__ = [
    "BatchModel",
    "Caller",
    "EngineConfig",
    "EngineParameters",
    "Fleet",
    "FleetError",
    "Generation",
    "PlatformConfig",
    "ReceivedAnswer",
    "ReceivedEvent",
    "Scenario",
    "ServiceConfig",
    "VirtualTimeLoop",
    "WeightsConfig",
    "WorkspaceScenario",
    "run_virtually",
]
