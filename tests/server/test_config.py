"""The platform's configuration: defaults, environment variables, and errors with their key."""

from dataclasses import replace

import pytest

from pepperhook import settings
from pepperhook.domain import Effect
from pepperhook.server import config
from pepperhook.settings import Names
from tests.programs import write_config
from tests.server.balancers import ENVIRONMENT

SERVICE_CLASS = ENVIRONMENT["serviceGrades"][0]


def with_settings(**replaced):
    return {"settings": ENVIRONMENT | replaced}


FAULTS = [
    ("listen", {"listen": "here"}),
    ("listen", {"listen": "127.0.0.1:x"}),
    ("discovery", {"discovery": None}),
    ("seed", {"seed": "xyz"}),
    ("limits", {"limits": 3}),
    ("limits.sockets", {"limits": {"sockets": 3}}),
    ("known", {"known": []}),
    ("settings", {"settings": None}),
    ("settings", {"settings": [1]}),
    ("serviceGrades", with_settings(serviceGrades=[])),
    ("serviceGrades[0].timeLimitUs", with_settings(serviceGrades=[{"name": "a"}])),
    ("serviceGrades[0].effect", with_settings(serviceGrades=[{"name": "a", "timeLimitUs": 1}])),
    ("serviceGrades[0].name", with_settings(serviceGrades=[SERVICE_CLASS | {"name": 5}])),
    ("serviceGrades[0].group", with_settings(serviceGrades=[SERVICE_CLASS | {"group": 5}])),
    ("orgs", with_settings(orgs={"acme": 1})),
    ("orgs[0].quotaPerS", with_settings(orgs=[{"name": "a", "quotaPerS": "7"}])),
    ("azs[1]", with_settings(azs=["z", ""])),
    ("permissions.probes", with_settings(permissions={"probes": "yes"})),
    ("permissions.cancel", with_settings(permissions=[])),
    ("safety.warmWithinUs", with_settings(safety={"warmWithinUs": -1})),
    ("reporting.how", with_settings(reporting={"how": "loudly"})),
    ("reporting.fields", with_settings(reporting={"fields": ["backlog"] * 2})),
    ("prices.connection", with_settings(prices={"connection": -0.1})),
    ("goal.tail", with_settings(goal={"tail": "x"})),
    ("groupSize", with_settings(groupSize=True)),
    ("me", with_settings(me=[])),
]


@pytest.mark.parametrize("key, replaced", FAULTS)
def test_a_fault_is_reported_in_one_line_by_its_key(tmp_path, key, replaced):
    with pytest.raises(config.ConfigError) as raised:
        config.read(write_config(tmp_path, **replaced))

    assert f"{key}:" in str(raised.value)
    assert "\n" not in str(raised.value)


def test_the_environment_overrides_the_file_and_the_rest_has_defaults(tmp_path):
    environ = write_config(tmp_path, limits={"sockets": 100})

    read = config.read({**environ, "LB_LISTEN": "[::1]:77", "LB_NAME": "n3"})

    assert (read.name, read.listen, read.discovery) == ("n3", ("::1", 77), ("127.0.0.1", 9))
    assert (read.seed, read.sockets, read.known) == (255, 100, None)
    assert read.settings.polls_endpoints
    assert read.settings.connect_timeout_ns == 500 * 10**6


def test_service_classes_and_names_are_those_of_the_settings(tmp_path):
    read = config.read(write_config(tmp_path))

    classes = read.settings.service_classes
    assert [each.effect for each in classes] == [Effect.SAFE, Effect.UNSAFE, Effect.KEYED]
    assert classes[0].objective_ns == classes[0].time_limit_ns == 2 * 10**9
    assert classes[0].priority_weight == 1.0
    assert read.names == Names(
        service_classes={"look": 0, "pay": 1, "hold": 2},
        tenants={"acme": 0},
        zones={"z": 0},
        kinds={"m": 0},
    )


def test_settings_of_the_server_differ_from_those_read_only_in_polling(tmp_path):
    read = config.read(write_config(tmp_path))

    assert read.settings == replace(settings.read(ENVIRONMENT), polls_endpoints=True)
