import { ReleaseChange, type ReleaseState } from '@dandelionlane/core';
import fc from 'fast-check';
import buildNote from './buildNote.js';
import buildService from './buildService.js';

/** What an author does with one service. `fitting` adds it or changes it, as its existence asks for. */
const act = fc.record({
  service: fc.constantFrom('proofs', 'lettering', 'slots', 'routes'),
  replicas: fc.nat(9),
  action: fc.constantFrom('fitting', 'fitting', 'fitting', 'fitting', 'withdraw', 'add'),
});

const teamWeight = fc.record({
  team: fc.constantFrom('makers', 'clerks'), weight: fc.integer({ min: 1, max: 3 }),
});

const distinctActs = fc.uniqueArray(act, {
  minLength: 1, maxLength: 3, selector: ({ service }) => service,
});

const anyActs = fc.oneof(
  { weight: 9, arbitrary: distinctActs },
  { weight: 1, arbitrary: fc.array(act, { maxLength: 3 }) },
);

const note = fc.record({
  /** How many changes the author has not seen; negative is a mistake. */
  unseen: fc.constantFrom(0, 0, 0, 0, 1, 2, 4, -1),
  acts: anyActs,
  teamWeights: fc.array(teamWeight, { maxLength: 1 }),
});

const subject = fc.oneof(
  fc.record({ kind: fc.constant('vm'), vm: fc.constantFrom('vm-1', 'vm-2') }),
  fc.record({ kind: fc.constant('availability-zone'), availabilityZone: fc.constantFrom('zone-a', 'zone-b') }),
);

interface Act { service: string; replicas: number; action: string }

/** Definitions for those of the acts that the condition selects. */
function define(acts: readonly Act[], isSelected: (one: Act) => boolean) {
  return acts.filter(isSelected).map(({ service, replicas }) => buildService(service, replicas));
}

const noteChange = note.map(({ unseen, teamWeights, ...rest }) => (state: ReleaseState): ReleaseChange => {
  const existing = new Set<string>(state.services.map(({ definition }) => definition.service));
  const isFitting = ({ action }: Act) => action === 'fitting';
  return buildNote({
    writtenAgainst: Math.max(0, state.sequence - unseen),
    add: define(rest.acts, (one) => one.action === 'add' || (isFitting(one) && !existing.has(one.service))),
    change: define(rest.acts, (one) => isFitting(one) && existing.has(one.service)),
    withdraw: rest.acts.filter(({ action }) => action === 'withdraw').map(({ service }) => service),
    teamWeights,
  });
});

const outOfServiceChange = fc.record({ kind: fc.constantFrom('take-out', 'bring-back'), subject })
  .map((change) => (): ReleaseChange => ReleaseChange.parse(change));

/** A change of a few services by an author who has seen the log but for its last changes. */
const arbitraryChange = fc.oneof(
  { weight: 4, arbitrary: noteChange },
  { weight: 1, arbitrary: outOfServiceChange },
);

export default arbitraryChange;
