"""The example settings load, and the files of one fleet are consistent with each other."""

from pathlib import Path

import testtools

from camphordrift.settings import load_entry_settings, load_standin_settings

EXAMPLES = Path(__file__).parents[3] / "examples"

ZONES = {
    "kowalczyk": ("wybrzeze", {"oliwa", "orlowo", "brzezno"}),
    "bazarnik": ("cz-south", {"brno-a", "brno-b", "zlin-c"}),
}


class ExamplesTest(testtools.TestCase):
    def test_entry_vms_cover_the_zones(self) -> None:
        for fleet, (region, zones) in ZONES.items():
            files = sorted((EXAMPLES / fleet).glob("*-[0-9].toml"))
            loaded = [load_entry_settings(file).unwrap() for file in files]
            self.assertEqual(zones, {settings.vm.availability_zone for settings in loaded})
            self.assertEqual({region}, {settings.vm.region for settings in loaded})

    def test_stand_ins_list_the_entry_vms(self) -> None:
        for fleet in ZONES:
            standins = load_standin_settings(EXAMPLES / fleet / "standins.toml").unwrap()
            for vm in standins.vm_list.vms:
                entry = load_entry_settings(EXAMPLES / fleet / f"{vm.vm_id}.toml").unwrap()
                self.assertEqual(vm.peers, entry.listen.peers)
                self.assertEqual(f"http://{standins.log.listen}", entry.platform.log_url)

    def test_addresses_are_used_once(self) -> None:
        used = []
        for fleet in ZONES:
            standins = load_standin_settings(EXAMPLES / fleet / "standins.toml").unwrap()
            used += [standins.log.listen, standins.vm_list.listen, standins.weight_store.listen]
            used += [server.listen for server in standins.engines]
            used += [server.listen for server in standins.services]
            for vm in standins.vm_list.vms:
                listen = load_entry_settings(EXAMPLES / fleet / f"{vm.vm_id}.toml").unwrap().listen
                used += [listen.callers, listen.operators, listen.peers]
        self.assertEqual(len(used), len(set(used)))
