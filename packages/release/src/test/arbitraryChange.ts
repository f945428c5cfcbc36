import { ReleaseChange, type ReleaseState } from '@dandelionlane/core';
import fc from 'fast-check';
import buildNote from './buildNote.js';
import buildService from './buildService.js';

/** An author's edit of one service. `upsert` adds the service, or changes it if it exists. */
const edit = fc.record({
  service: fc.constantFrom('proofs', 'lettering', 'slots', 'routes'),
  replicas: fc.nat(9),
  action: fc.constantFrom('upsert', 'upsert', 'upsert', 'upsert', 'withdraw', 'add'),
});

const teamWeight = fc.record({
  team: fc.constantFrom('makers', 'clerks'), weight: fc.integer({ min: 1, max: 3 }),
});

const distinctEdits = fc.uniqueArray(edit, {
  minLength: 1, maxLength: 3, selector: ({ service }) => service,
});

const anyEdits = fc.oneof(
  { weight: 9, arbitrary: distinctEdits },
  { weight: 1, arbitrary: fc.array(edit, { maxLength: 3 }) },
);

const note = fc.record({
  /** How many of the latest changes the author has not seen. A negative number makes the note invalid. */
  unseen: fc.constantFrom(0, 0, 0, 0, 1, 2, 4, -1),
  edits: anyEdits,
  teamWeights: fc.array(teamWeight, { maxLength: 1 }),
});

const subject = fc.oneof(
  fc.record({ kind: fc.constant('vm'), vm: fc.constantFrom('vm-1', 'vm-2') }),
  fc.record({ kind: fc.constant('availability-zone'), availabilityZone: fc.constantFrom('zone-a', 'zone-b') }),
);

interface Edit { service: string; replicas: number; action: string }

/** Builds the service definitions of the selected edits. */
function buildServices(edits: readonly Edit[], isSelected: (one: Edit) => boolean) {
  return edits.filter(isSelected).map(({ service, replicas }) => buildService(service, replicas));
}

const noteChange = note.map(({ unseen, teamWeights, ...rest }) => (state: ReleaseState): ReleaseChange => {
  const existing = new Set<string>(state.services.map(({ definition }) => definition.service));
  const isUpsert = ({ action }: Edit) => action === 'upsert';
  return buildNote({
    writtenAgainst: Math.max(0, state.sequence - unseen),
    add: buildServices(rest.edits, (one) => one.action === 'add' || (isUpsert(one) && !existing.has(one.service))),
    change: buildServices(rest.edits, (one) => isUpsert(one) && existing.has(one.service)),
    withdraw: rest.edits.filter(({ action }) => action === 'withdraw').map(({ service }) => service),
    teamWeights,
  });
});

const outOfServiceChange = fc.record({ kind: fc.constantFrom('take-out', 'bring-back'), subject })
  .map((change) => (): ReleaseChange => ReleaseChange.parse(change));

/** A change by an author who may not have seen the last changes of the log. */
const arbitraryChange = fc.oneof(
  { weight: 4, arbitrary: noteChange },
  { weight: 1, arbitrary: outOfServiceChange },
);

export default arbitraryChange;
