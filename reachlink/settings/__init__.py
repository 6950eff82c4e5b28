"""Tree of operator settings: inheritance, validation and edits."""

from reachlink.settings._documents import from_document, to_document
from reachlink.settings._edits import Change, diff_values
from reachlink.settings._keys import hash_key, key_matches, new_key
from reachlink.settings._paths import Scope, SettingPath, parse_path
from reachlink.settings._policies import ServiceInfo, ServiceKind, ServicePolicy
from reachlink.settings._schema import SETTINGS, Setting, setting_named
from reachlink.settings._tree import ROUTING_PATH, Origin, SettingsTree
from reachlink.settings._validation import Problem, check_changes, check_values
from reachlink.settings._zone_orders import ZONE_ORDER, ZoneOrder, zone_order_path
from reachlink.settings.exceptions import InvalidSettingsError, SettingsError, UnknownPathError

__all__ = [
    "ROUTING_PATH",
    "SETTINGS",
    "ZONE_ORDER",
    "Change",
    "InvalidSettingsError",
    "Origin",
    "Problem",
    "Scope",
    "ServiceInfo",
    "ServiceKind",
    "ServicePolicy",
    "Setting",
    "SettingPath",
    "SettingsError",
    "SettingsTree",
    "UnknownPathError",
    "ZoneOrder",
    "check_changes",
    "check_values",
    "diff_values",
    "from_document",
    "hash_key",
    "key_matches",
    "new_key",
    "parse_path",
    "setting_named",
    "to_document",
    "zone_order_path",
]
