import type { AvailabilityZoneId, ModelName, WorkerId } from '@dandelionlane/core';
import {
  formationName, type ServiceProfile, type WorkerEntry, type WorkerTable,
} from '@dandelionlane/fleet';
import type TargetStates from '../targets/TargetStates.js';
import type Candidate from './Candidate.js';

/** Input of `listCandidates`. */
interface CandidateInput {
  readonly service: ServiceProfile;
  readonly model: ModelName | null;
  readonly workers: WorkerTable;
  readonly states: TargetStates;
  /** Zones that are out of service. */
  readonly closedZones: ReadonlySet<AvailabilityZoneId>;
  /** Targets that this request has already tried. */
  readonly excluded: ReadonlySet<WorkerId>;
}

function formationOf({ group }: WorkerEntry): string {
  return group === null ? '' : formationName(group);
}

function countByFormation(entries: readonly WorkerEntry[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  entries.forEach((entry) => {
    const formation = formationOf(entry);
    counts.set(formation, (counts.get(formation) ?? 0) + 1);
  });
  return counts;
}

/** Lists the targets that are eligible for a request now: heads of open groups, or plain workers. */
export default function listCandidates(input: CandidateInput): readonly Candidate[] {
  const {
    service, model, workers, states, closedZones, excluded,
  } = input;
  const entries = workers.ofService(service.id);
  const usable = entries.filter(({ worker }) => !worker.draining
    && !closedZones.has(worker.zone) && !excluded.has(worker.id));
  if (service.engine === null) {
    return usable.map((entry) => ({
      entry,
      state: states.of(entry.worker.id),
      formation: '',
      slots: entry.worker.slots,
      isGroupComplete: true,
      peer: null,
    }));
  }
  const { engine } = service;
  const profile = engine.models.find(({ name }) => name === model);
  const counts = countByFormation(entries);
  return usable
    .filter(({ group }) => group?.rank === 0 && group.state === 'open')
    .filter(({ models }) => model === null || models.includes(model))
    .map((entry) => {
      const formation = formationOf(entry);
      return {
        entry,
        state: states.of(entry.worker.id),
        formation,
        slots: engine.slots,
        isGroupComplete: (counts.get(formation) ?? 0) >= (profile?.groupSize ?? 1),
        peer: null,
      };
    });
}
