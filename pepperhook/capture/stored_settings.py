"""Converts settings to the dict that captures store, whose keys are stored words, and back."""

from collections.abc import Callable
from dataclasses import fields
from typing import Any

from pepperhook import stored_words as words
from pepperhook.domain import RepeatGroup, ServiceClass
from pepperhook.settings import ReportSource, Settings, TenantQuota


def encode(settings: Settings) -> dict[str, Any]:
    """Return the stored form of settings, without the fields that have their default value."""
    stored: dict[str, Any] = {}
    defaults = Settings()
    for field in fields(Settings):
        word = words.SETTINGS.get(field.name)
        value = getattr(settings, field.name)
        if word is not None and value != getattr(defaults, field.name):
            stored[word] = value
    stored[words.SUBSCRIBES] = settings.subscribes_to_endpoints
    stored[words.TENANTS] = [
        {word: getattr(tenant, name) for name, word in words.TENANT.items()}
        for tenant in settings.tenants
    ]
    stored[words.SERVICE_CLASSES] = [
        encode_class(service_class) for service_class in settings.service_classes
    ]
    return stored


def encode_class(service_class: ServiceClass) -> dict[str, Any]:
    """Return the stored form of one service class."""
    stored = {word: getattr(service_class, name) for name, word in words.SERVICE_CLASS.items()}
    stored["effect"] = words.EFFECTS[service_class.effect]
    return stored


def decode(
    stored: dict[str, Any], class_decoder: Callable[[dict[str, Any]], ServiceClass] | None = None
) -> Settings:
    """Decode stored settings; ``class_decoder`` replaces ``decode_class`` if it is given."""
    values = {name: stored[word] for name, word in words.SETTINGS.items() if word in stored}
    # Before this setting was stored, an open watch counted as a subscription.
    values["subscribes_to_endpoints"] = stored.get(words.SUBSCRIBES, True)
    if "report_source" in values:
        values["report_source"] = ReportSource(values["report_source"])
    decode_one_class = class_decoder or decode_class
    return Settings(
        **values,
        tenants=[decode_tenant(row) for row in stored[words.TENANTS]],
        service_classes=[decode_one_class(row) for row in stored[words.SERVICE_CLASSES]],
    )


def decode_class(stored: dict[str, Any]) -> ServiceClass:
    """Decode a stored service class."""
    values = {name: stored[word] for name, word in words.SERVICE_CLASS.items() if word in stored}
    values["effect"] = words.EFFECT_OF[stored["effect"]]
    if "repeat_group" in values:
        values["repeat_group"] = RepeatGroup(values["repeat_group"])
    return ServiceClass(**values)


def decode_tenant(stored: dict[str, Any]) -> TenantQuota:
    """Decode a stored tenant quota."""
    return TenantQuota(
        **{name: stored[word] for name, word in words.TENANT.items() if word in stored}
    )
