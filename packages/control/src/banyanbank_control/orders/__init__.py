"""Endpoint orders: decided once and resent unchanged."""

from banyanbank_control.orders._apply import decide
from banyanbank_control.orders._apply import mark
from banyanbank_control.orders._state import Order
from banyanbank_control.orders._state import OrderRecord
from banyanbank_control.orders._state import OrderState

__all__ = ["Order", "OrderRecord", "OrderState", "decide", "mark"]
