"""Tests of waxwinglever_routing.hotkeys."""

import random

import testtools

from waxwinglever_model import cells
from waxwinglever_routing import hotkeys


class HotKeysTest(testtools.TestCase):
    """Guards against hot keys that are missed, found late or false."""

    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.rng = random.Random(4)
        self.tracker = hotkeys.HotKeys(now=lambda: self.now_s)
        self.item = cells.Slice(0, 10**9, "a", 1)

    def run_for(self, seconds, rate, hot_point=None, hot_share=0.0):
        for _ in range(int(seconds * rate)):
            self.now_s += 1 / rate
            point = self.rng.randrange(10**6)
            if self.rng.random() < hot_share:
                point = hot_point
            hotkeys.record(self.tracker, self.item, point)

    def only_load(self):
        found = hotkeys.slice_loads(self.tracker)
        self.assertEqual(1, len(found))
        return found[0]

    def test_rate_and_share_are_measured(self):
        self.run_for(20, 200, hot_point=77, hot_share=0.5)
        load = self.only_load()
        self.assertEqual((self.item.ref, 77), (load.ref, load.hot_point))
        self.assertTrue(180 < load.requests_per_s < 220, load)
        self.assertTrue(0.4 < load.hot_share < 0.6, load)
        self.assertTrue(
            len(self.tracker.sketches[self.item.ref].counters)
            <= hotkeys.COUNTERS
        )

    def test_uniform_traffic_reports_no_hot_key(self):
        self.run_for(20, 200)
        load = self.only_load()
        self.assertTrue(load.hot_share < 0.05, load)

    def test_a_new_hot_key_replaces_the_old_one(self):
        self.run_for(30, 100, hot_point=1, hot_share=0.8)
        self.run_for(15, 100, hot_point=2, hot_share=0.8)
        load = self.only_load()
        self.assertEqual(2, load.hot_point)
        self.assertTrue(load.hot_share > 0.5, load)

    def test_rate_converges_fast_and_decays_after_the_last_request(self):
        self.run_for(2, 100)
        load = self.only_load()
        self.assertTrue(80 < load.requests_per_s < 120, load)
        self.now_s += 10 * hotkeys.HALF_LIFE_S
        load = self.only_load()
        self.assertTrue(load.requests_per_s < 1, load)

    def test_a_split_starts_a_new_sketch(self):
        self.run_for(10, 100)
        self.item = cells.Slice(0, 5, "a", 1)
        hotkeys.record(self.tracker, self.item, 3)
        load = self.only_load()
        self.assertTrue(load.requests_per_s < 2, load)

    def test_busiest_slices_are_reported_and_retain_only_drops_others(self):
        items = [cells.Slice(10 * i, 10 * i + 9, "a", 1) for i in range(5)]
        for i, item in enumerate(items):
            for _ in range(i + 1):
                hotkeys.record(self.tracker, item, item.start)
        found = hotkeys.slice_loads(self.tracker, max_slices=2)
        self.assertEqual([items[4].ref, items[3].ref], [x.ref for x in found])
        hotkeys.retain_only(self.tracker, [items[0].ref])
        found = hotkeys.slice_loads(self.tracker)
        self.assertEqual([items[0].ref], [x.ref for x in found])
