"""Identifies the machine's boot. Times of its monotonic clock compare only within one boot."""

from pathlib import Path

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


def boot_id() -> str:
    """Return the kernel's boot id, or an empty string if it is unknown.

    If it is unknown, recovery treats every start as a reboot.
    """
    try:
        return BOOT_ID_FILE.read_text(encoding="ascii").strip()
    except OSError:
        return ""
