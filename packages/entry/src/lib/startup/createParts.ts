import type { EntryRecord, TeamId } from '@dandelionlane/core';
import EntryGroup from '../peers/EntryGroup.js';
import type PeerEnvelope from '../peers/PeerEnvelope.js';
import OutOfServiceWatch from '../release/OutOfServiceWatch.js';
import type ReleaseHolder from '../release/ReleaseHolder.js';
import AdmissionDesk from '../requests/AdmissionDesk.js';
import TargetTable from '../targets/TargetTable.js';
import type EntryParts from './EntryParts.js';
import type EntryRuntime from './EntryRuntime.js';

/** Creates the parts of an entry that is known to its peers as `self`. */
export default function createParts(
  runtime: EntryRuntime,
  release: ReleaseHolder,
  self: EntryRecord,
  send: (address: string, envelope: PeerEnvelope) => void,
): EntryParts {
  const { settings, clock, random } = runtime;
  const outOfService = new OutOfServiceWatch(release, clock);
  const group = new EntryGroup({
    self,
    seeds: settings.seeds,
    probePeriodMilliseconds: settings.timing.probePeriodMilliseconds,
    pollPeriodMilliseconds: settings.timing.pollPeriodMilliseconds,
    clock,
    random,
    release,
    send,
  });
  const weightOf = (team: TeamId) => (
    release.state()?.teamWeights.find((entry) => entry.team === team)?.weight ?? 1
  );
  const admission = new AdmissionDesk(clock, weightOf);
  const targets = new TargetTable({
    entry: settings.entry,
    region: settings.region,
    store: runtime.store,
    dispatcher: runtime.reportAgent,
    clock,
    freshnessMilliseconds: settings.timing.freshnessMilliseconds,
    isOut: (member) => outOfService.isOut(member),
    log: runtime.log,
    changed: (service) => admission.setCapacity(service.service, service.capacity()),
  });
  return {
    release, group, targets, admission,
  };
}
