"""Hooks of behave: seeds and clean-up."""

import random

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("ci")


def before_scenario(context, scenario):
    random.seed(1)
