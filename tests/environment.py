"""Hooks of behave: random seeds, shared processes and clean-up."""

import random

import hypothesis

from tests import site_fixture

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("ci")


def before_scenario(context, scenario):
    random.seed(1)


def before_feature(context, feature):
    if "site" in feature.tags:
        is_quick = "quick_moves" in feature.tags
        settings = site_fixture.QUICK_MOVES if is_quick else ""
        context.shared = site_fixture.SharedSite(settings)
        context.add_cleanup(context.shared.close)
        context.shared.start()


def after_scenario(context, scenario):
    if "site" in scenario.effective_tags:
        context.shared.clear_faults()
