"""Registries of interchangeable implementations, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one interface.

    Parameters
    ----------
    kind : str
        Name of what is registered, for error messages.
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an implementation as ``name``."""

        def add(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Return the implementation called ``name``.

        Raises
        ------
        LookupError
            If there is none; the message lists the known names.
        """
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(sorted(self._items))
            raise LookupError(
                f"unknown {self._kind} {name!r}; choose one of: {known}"
            ) from None

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._items)

    def in_order(self) -> list[str]:
        """Return the registered names in the order of their registration."""
        return list(self._items)

    def __iter__(self) -> Iterator[str]:
        return iter(self.names())
