import type { EntryRecord, TeamId } from '@dandelionlane/core';
import EntryGroup from '../peers/EntryGroup.js';
import type PeerEnvelope from '../peers/PeerEnvelope.js';
import OutOfServiceTracker from '../release/OutOfServiceTracker.js';
import type ReleaseTracker from '../release/ReleaseTracker.js';
import AdmissionControl from '../requests/AdmissionControl.js';
import TargetTable from '../targets/TargetTable.js';
import type EntryComponents from './EntryComponents.js';
import type EntryRuntime from './EntryRuntime.js';

/** Creates the components of an entry. `self` is the record that its peers know it by. */
export default function createComponents(
  runtime: EntryRuntime,
  release: ReleaseTracker,
  self: EntryRecord,
  send: (address: string, envelope: PeerEnvelope) => void,
): EntryComponents {
  const { settings, clock, random } = runtime;
  const outOfService = new OutOfServiceTracker(release, clock);
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
  const admission = new AdmissionControl(clock, weightOf);
  const targets = new TargetTable({
    entry: settings.entry,
    region: settings.region,
    store: runtime.store,
    dispatcher: runtime.reportAgent,
    clock,
    freshnessMilliseconds: settings.timing.freshnessMilliseconds,
    isOut: (member) => outOfService.isOut(member),
    log: runtime.log,
    onCapacityChange: (service) => admission.setCapacity(service.service, service.capacity()),
  });
  return {
    release, group, targets, admission,
  };
}
