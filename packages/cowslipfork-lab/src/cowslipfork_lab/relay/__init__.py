"""TCP relay between processes of the lab: delays and cuts."""

from __future__ import annotations

from cowslipfork_lab.relay.relay import Relay
from cowslipfork_lab.relay.rules import ANY, Rule, Rules, TrafficPolicy
from cowslipfork_lab.relay.service import run_relay

__all__ = ['ANY', 'TrafficPolicy', 'Relay', 'Rule', 'Rules', 'run_relay']
